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

// Role is the set of administration calls that the holder of a token may make.
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

// Includes reports whether r allows all that other allows; an unknown role neither
// includes nor is included.
func (r Role) Includes(other Role) bool {
	index, otherIndex := slices.Index(roles, r), slices.Index(roles, other)
	return otherIndex >= 0 && index >= otherIndex
}

// AllTeams in Token.Teams means every team and what belongs to no team.
const AllTeams = "*"

// maxTokens is the maximum number of tokens in a file.
const maxTokens = 1000

// Token is one credential of the administration API.
type Token struct {
	// Name identifies the holder of the token in the audit record.
	Name string
	// Hash is the SHA-256 of the secret. The file does not contain the secret.
	Hash [sha256.Size]byte
	Role Role
	// Teams are the teams whose services the holder may change, or only AllTeams.
	Teams []string
}

var tokenKeys = []keySpec[Token]{
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
		for team := range strings.SplitSeq(v, ",") {
			t.Teams = append(t.Teams, strings.TrimSpace(team))
		}
		return v == AllTeams || !slices.ContainsFunc(t.Teams, func(s string) bool { return !config.ValidName(s) })
	}},
}

// LoadTokens reads and checks the tokens file at path, as ParseTokens does.
func LoadTokens(path string) ([]Token, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tokens, err := ParseTokens(text)
	return tokens, trace.Wrap(err, "tokens file %s", path)
}

// ParseTokens reads tokens from sections [token NAME]. It reports all problems
// together as *Problems, among them duplicate names or secrets, and a role above
// RoleRead without teams.
func ParseTokens(text []byte) ([]Token, error) {
	file, err := loadINI(text)
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
		readKeys(&token, name, section, tokenKeys, keyNames(tokenKeys, ""), &problems)
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
