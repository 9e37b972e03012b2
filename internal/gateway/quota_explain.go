package gateway

import (
	"maps"
	"time"

	"github.com/galenabeam/galenabeam/internal/quota"
)

// answersKept is the time for which the last answer of the region's issuer about a workspace
// is kept. It bounds the memory to the workspaces with recent requests at this host.
const answersKept = time.Minute

// QuotaState is the quota of a workspace as the asked host knows it.
type QuotaState struct {
	// Tokens is the number of tokens left at this host, Issuer the host that lends them, ""
	// if none is known.
	Tokens float64 `json:"tokens"`
	Issuer string  `json:"issuer"`
	// IssuerSuspected is set if the issuer of this host's region is not asked now, because
	// it has not answered lately or answered that it is not the issuer.
	IssuerSuspected bool `json:"issuer_suspected,omitempty"`
	// Level is the number of tokens that can be lent, if this host is the issuer.
	Level *int `json:"level,omitempty"`
	// LastAnswer is the last answer of the issuer to this host, nil if there was none in the
	// last minute.
	LastAnswer *IssuerAnswer `json:"last_answer,omitempty"`
	// OverQuota is set if this host has refused requests of the workspace lately, because
	// its quota is used up.
	OverQuota bool `json:"over_quota,omitempty"`
	// Decision is what the request gets now, "" if another host receives it: only that one's
	// tokens count. The other fields belong to the decision.
	Decision TokenDecision `json:"decision,omitempty"`
	// Refusal is the answer of a request without a token.
	Refusal *Refusal `json:"refusal,omitempty"`
	// WaitMillis is the time for which the request waits at most, AskedRegion the region
	// whose issuer is asked meanwhile, "" if none is known that may be asked.
	WaitMillis  float64 `json:"wait_ms,omitempty"`
	AskedRegion string  `json:"asked_region,omitempty"`
	// Unanswered is the refusal if no answer arrives meanwhile, nil if the request would then
	// be sent on the safe share.
	Unanswered *Refusal `json:"unanswered,omitempty"`
}

// TokenDecision is what a request that needs a token gets.
type TokenDecision string

// Token decisions.
const (
	// TokenHeld means that this host holds a token for the request.
	TokenHeld TokenDecision = "token"
	// TokenSafeShare means that the request is sent without a token.
	TokenSafeShare TokenDecision = "safe_share"
	// TokenWait means that the request waits for a token.
	TokenWait TokenDecision = "wait"
	// TokenRefused means that the request is refused.
	TokenRefused TokenDecision = "refused"
)

// IssuerAnswer is an answer of the region's issuer about a workspace.
type IssuerAnswer struct {
	Issuer    string  `json:"issuer"`
	AgeMillis float64 `json:"age_ms"`
	// Lent is the number of tokens that it lent. Short is set if it lacked tokens for requests
	// that waited, Elsewhere if other regions may have had some, Fresh if it had just started.
	Lent      int  `json:"lent"`
	Short     bool `json:"short,omitempty"`
	Elsewhere bool `json:"elsewhere,omitempty"`
	Fresh     bool `json:"fresh,omitempty"`
}

// issuerAnswer is an IssuerAnswer with the time of its arrival instead of its age.
type issuerAnswer struct {
	IssuerAnswer
	at time.Duration
}

// noteAnswer keeps an answer of the region's issuer for Explain. The caller holds q.mu.
func (q *Quotas) noteAnswer(now time.Duration, region string, loans []quota.Loan) {
	i := q.issuers[region]
	if region != q.self.Region || i == nil {
		return
	}
	for _, l := range loans {
		a := q.answers[l.Workspace]
		if a.at != now { // a workspace may have several loans in one answer
			a = issuerAnswer{at: now, IssuerAnswer: IssuerAnswer{Issuer: i.Host}}
		}
		a.Lent += l.Tokens
		a.Short, a.Elsewhere, a.Fresh = a.Short || l.Empty, a.Elsewhere || l.Elsewhere, a.Fresh || l.Fresh
		q.answers[l.Workspace] = a
	}
	if now-q.answersPruned >= answersKept {
		q.answersPruned = now
		maps.DeleteFunc(q.answers, func(_ string, a issuerAnswer) bool { return now-a.at >= answersKept })
	}
}

// state returns the quota of a workspace for Gateway.Explain, nil if it has no limit.
func (q *Quotas) state(workspace string) *QuotaState {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, limited := q.limits[workspace]; !limited {
		return nil
	}
	now := q.now()
	state := &QuotaState{Tokens: float64(q.client.Left(now, workspace)), OverQuota: q.over[workspace] != nil}
	if i := q.issuers[q.self.Region]; i != nil {
		state.Issuer = i.Host
	}
	// currentIssuer is not used here, as it may create the issuer.
	if q.issuer != nil && q.term.Holds(now) && q.epoch == q.term.Epoch() {
		if level, _, known := q.issuer.Level(now, workspace); known {
			state.Level = &level
		}
	}
	if a, ok := q.answers[workspace]; ok && now-a.at < answersKept {
		a.AgeMillis = toMillis(now - a.at)
		state.LastAnswer = &a.IssuerAnswer
	}
	return state
}

// explain sets the decision that acquire would make now about a request that needs a token.
func (q *Quotas) explain(state *QuotaState, pr *pendingRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, confirmed := q.now(), time.Duration(0)
	if q.age != nil {
		confirmed = now - q.age()
	}
	p := q.client.Preview(now, pr.workspace.Name, pr.quotaLimit(), now+q.tokenWait(pr), confirmed)
	state.IssuerSuspected = p.IssuerSuspected
	switch {
	case p.Now.Verdict == quota.Waiting:
		state.Decision, state.WaitMillis, state.AskedRegion = TokenWait, toMillis(p.Wait), p.Target
		answer, _ := answerWithoutToken(p.Unanswered)
		state.Unanswered = refusalOf(answer)
	case p.Now.Verdict != quota.Granted:
		state.Decision = TokenRefused
		answer, _ := answerWithoutToken(p.Now)
		state.Refusal = refusalOf(answer)
	case p.SafeShare:
		state.Decision = TokenSafeShare
	default:
		state.Decision = TokenHeld
	}
}
