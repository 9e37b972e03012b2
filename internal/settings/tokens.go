package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"github.com/galenabeam/galenabeam/config"
)

// Role is what the holder of a token may do.
type Role string

// Roles, each of which includes those before it.
const (
	// RoleRead reads configuration, state and metrics.
	RoleRead Role = "read"
	// RoleOperate creates and aborts drains.
	RoleOperate Role = "operate"
	// RoleConfigure submits configurations.
	RoleConfigure Role = "configure"
)

var roles = []Role{RoleRead, RoleOperate, RoleConfigure}

// Includes tells whether r allows what other allows.
func (r Role) Includes(other Role) bool {
	mine, theirs := slices.Index(roles, r), slices.Index(roles, other)
	return theirs >= 0 && mine >= theirs
}

// AllTeams stands for every team and for what belongs to no team.
const AllTeams = "*"

// maxTokens bounds the tokens of a file.
const maxTokens = 1000

// Token is one credential of the administration API.
type Token struct {
	// Name identifies the holder in the audit record.
	Name string
	// Hash is the SHA-256 of the secret. The file holds no secret.
	Hash [sha256.Size]byte
	Role Role
	// Teams are the teams whose services the holder may change, or AllTeams.
	Teams []string
}

var tokenKeys = []key[Token]{
	{"", "sha256", "want 64 hexadecimal digits, the SHA-256 of the secret", true, func(t *Token, v string) bool {
		sum, err := hex.DecodeString(v)
		if err != nil || len(sum) != sha256.Size {
			return false
		}
		t.Hash = [sha256.Size]byte(sum)
		return true
	}},
	{"", "role", "want read, operate or configure", true, func(t *Token, v string) bool {
		t.Role = Role(v)
		return slices.Contains(roles, t.Role)
	}},
	{"", "teams", "want * or names separated by commas, each of 1 to 63 characters of a-z, 0-9 and -", false, func(t *Token, v string) bool {
		for part := range strings.SplitSeq(v, ",") {
			t.Teams = append(t.Teams, strings.TrimSpace(part))
		}
		return v == AllTeams || !slices.ContainsFunc(t.Teams, func(s string) bool { return !config.ValidName(s) })
	}},
}

// LoadTokens reads and checks the tokens file at path.
func LoadTokens(path string) ([]Token, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tokens, err := ParseTokens(text)
	return tokens, trace.Wrap(err, "tokens file %s", path)
}

// ParseTokens reads tokens from sections [token NAME]. All problems are
// reported together as *Problems.
func ParseTokens(text []byte) ([]Token, error) {
	file, err := load(text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var problems Problems
	var tokens []Token
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		holder, found := strings.CutPrefix(name, "token ")
		if !found || !config.ValidName(holder) {
			problems.add(name, "", "", "unknown section; want [token NAME], with a name of 1 to 63 characters of a-z, 0-9 and -")
			continue
		}
		token := Token{Name: holder}
		read(&token, name, section, tokenKeys, keyNames(tokenKeys, ""), &problems)
		for _, other := range tokens {
			if other.Name == holder {
				problems.add(name, "", "", "duplicate section")
			}
			if other.Hash == token.Hash && token.Hash != [sha256.Size]byte{} {
				problems.add(name, "sha256", hex.EncodeToString(token.Hash[:]), "duplicate secret; token "+other.Name+" has it too")
			}
		}
		if token.Role != RoleRead && len(token.Teams) == 0 {
			problems.add(name, "", "", "key teams is missing; roles operate and configure need it")
		}
		tokens = append(tokens, token)
	}
	if len(tokens) == 0 || len(tokens) > maxTokens {
		problems.add("token", "", "", "want 1 to 1000 sections [token NAME]")
	}
	if err := problems.err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return tokens, nil
}
