package attribution

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestDecide guards against an earlier answer that a faulty server sends once more and
// that is taken for the answer to the request: the caller would get another request's
// answer, or be told that a request has not run that has.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		desc   string
		answer Answer
		want   Verdict
	}{
		{"success", Answer{Status: 200, Signed: true}, PassOn},
		{"success without a signature", Answer{Status: 200}, Unusable},
		{"redirect", Answer{Status: 302}, PassOn},
		{"not found by the server", Answer{Status: 404, Signed: true}, PassOn},
		{"failure", Answer{Status: 500, Signed: true}, PassOn},
		{"timeout of the server, which counts as run", Answer{Status: 504, Signed: true}, PassOn},
		{"refusal", Answer{Status: 503, NotRun: true}, Refused},
		{"refusal by rate", Answer{Status: 429, NotRun: true, Kept: true}, Refused},
		{"refusal of a request without an identity", Answer{Status: 400, NotRun: true}, Refused},
		{"other server at the address", Answer{Status: 421}, Misdirected},
		{"other server at the address that says not run", Answer{Status: 421, NotRun: true}, Refused},
		{"success that says not run", Answer{Status: 200, Signed: true, NotRun: true}, Unusable},
		{"503 that does not say not run", Answer{Status: 503}, Unusable},
		{"503 that does not say not run, repeatable", Answer{Status: 503, Repeatable: true}, PassOn},
		{"429 that does not say not run", Answer{Status: 429}, Unusable},
		{"408 that does not say not run", Answer{Status: 408}, Unusable},

		{"answer to another request", Answer{Status: 200, Identity: Other, Signed: true}, Skip},
		{"refusal of another request", Answer{Status: 503, Identity: Other, NotRun: true, Kept: true}, Skip},
		{"421 to another request", Answer{Status: 421, Identity: Other}, Skip},

		{"kept connection, refusal without identity", Answer{Status: 503, Identity: Missing, NotRun: true, Kept: true}, Skip},
		{"kept connection, 429 without identity", Answer{Status: 429, Identity: Missing, NotRun: true, Kept: true}, Skip},
		{"kept connection, 421 without identity", Answer{Status: 421, Identity: Missing, Kept: true}, Skip},
		{"kept connection, 400 without identity", Answer{Status: 400, Identity: Missing, NotRun: true, Kept: true}, Skip},
		{"kept connection, success without identity", Answer{Status: 200, Identity: Missing, Signed: true, Kept: true}, Skip},
		{"kept connection, failure without identity", Answer{Status: 500, Identity: Missing, Kept: true}, Skip},

		{"new connection, refusal without identity", Answer{Status: 503, Identity: Missing, NotRun: true}, Unusable},
		{"new connection, 421 without identity", Answer{Status: 421, Identity: Missing}, Unusable},
		{"new connection, 400 that says not run without identity", Answer{Status: 400, Identity: Missing, NotRun: true}, Unusable},
		{"new connection, success without identity", Answer{Status: 200, Identity: Missing, Signed: true}, Unusable},
		{"new connection, header not readable for the server", Answer{Status: 431, Identity: Missing}, PassOn},
		{"new connection, failure without identity", Answer{Status: 500, Identity: Missing}, PassOn},
	} {
		t.Run(c.desc, func(t *testing.T) { NewWithT(t).Expect(Decide(c.answer)).To(Equal(c.want)) })
	}
}

// TestOnlyOwnIdentityProves guards, over all answers, against a proof that a request has
// not run without the request's identity, and against a success without it.
func TestOnlyOwnIdentityProves(t *testing.T) {
	g := NewWithT(t)
	for status := 200; status < 600; status++ {
		for bits := range 16 {
			a := Answer{Status: status, NotRun: bits&1 > 0, Signed: bits&2 > 0, Kept: bits&4 > 0, Repeatable: bits&8 > 0}
			for _, a.Identity = range []Identity{Other, Missing} {
				v := Decide(a)
				g.Expect(v).NotTo(Or(Equal(Refused), Equal(Misdirected)), "%+v", a)
				g.Expect(v == PassOn && (status < 400 || a.Kept || promisesNotRun(status))).To(BeFalse(), "%+v", a)
			}
		}
	}
}
