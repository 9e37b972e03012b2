package quota

import (
	"sort"
	"time"
)

// lentLoan is a loan as its issuer records it. Its tokens count as outstanding until
// countedUntil, unless they were borrowed: those are counted by the region that gave them.
type lentLoan struct {
	id           uint64
	left         int
	countedUntil time.Duration
	borrowed     bool
	expires      time.Duration // of borrowed tokens, by this issuer's clock
}

// ledger holds the loans of a workspace that have not expired, oldest first. All are
// counted for the same time, so the oldest expires first.
type ledger struct {
	loans       []lentLoan
	head        int
	outstanding int
}

func (l *ledger) add(loan lentLoan) {
	l.loans = append(l.loans, loan)
	if !loan.borrowed {
		l.outstanding += loan.left
	}
}

// next returns the time at which the oldest loan expires.
func (l *ledger) next() (time.Duration, bool) {
	if l.head == len(l.loans) {
		return 0, false
	}
	return l.loans[l.head].countedUntil, true
}

// expire removes the oldest loan.
func (l *ledger) expire() {
	if loan := l.loans[l.head]; !loan.borrowed {
		l.outstanding -= loan.left
	}
	l.head++
	if l.head*2 > len(l.loans) {
		l.loans = append(l.loans[:0], l.loans[l.head:]...)
		l.head = 0
	}
}

// find returns the loan with an ID, nil if it has expired or never existed.
func (l *ledger) find(id uint64) *lentLoan {
	list := l.loans[l.head:]
	at := sort.Search(len(list), func(k int) bool { return list[k].id >= id })
	if at == len(list) || list[at].id != id {
		return nil
	}
	return &list[at]
}

// settle removes up to n tokens of a loan and returns how many it had.
func (l *ledger) settle(loan *lentLoan, n int) int {
	n = max(min(n, loan.left), 0)
	loan.left -= n
	if !loan.borrowed {
		l.outstanding -= n
	}
	return n
}
