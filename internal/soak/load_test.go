package soak

import (
	"fmt"
	"time"
)

// loadKind is how a backend server reports its load.
type loadKind int

const (
	noLoad     loadKind = iota // not at all
	threeLoad                  // running, waiting, slots
	fourLoad                   // also the time that work takes, which changes often
	absurdLoad                 // values that make no sense
	loadKinds
)

// percentPeriod is the time between two changes of a server's speed.
const percentPeriod = 25 * time.Millisecond

// absurdLoads are reports that must neither end a host nor take a server out of use.
var absurdLoads = []string{
	"1,0,4,0", "1,0,4,-100", "1,0,4,NaN", "1,0,4,1e300", "1,0,4,99999999999999999999", "9223372036854775807,9223372036854775807,9223372036854775807,100",
	"-1,0,4,100", "1,0,0,100", "1,0,4,100,7", "1,0,4,", ",,,", "",
}

// step counts the periods of the server's speed.
func step() int { return int(time.Now().UnixNano() / int64(percentPeriod)) }

// percent returns how long work takes now, 100 as usual.
func (b *backend) percent() int {
	if b.loadKind != fourLoad {
		return 100
	}
	return 60 + step()*7919%13*50
}

// work takes the time of an execution at the server's speed.
func (b *backend) work() { time.Sleep(serviceTime * time.Duration(b.percent()) / 100) }

// loadLine returns the header line with the load, "" if the server reports none.
func (b *backend) loadLine() string {
	report := fmt.Sprintf("%d,0,%d", len(b.slots), cap(b.slots))
	switch b.loadKind {
	case noLoad:
		return ""
	case fourLoad:
		report += fmt.Sprint(",", b.percent())
	case absurdLoad:
		report = absurdLoads[step()%len(absurdLoads)]
	}
	return "Galenabeam-Backend-Load: " + report + "\r\n"
}
