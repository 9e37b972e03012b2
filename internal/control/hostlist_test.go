package control

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// TestHostListOutageIsLogged guards against an outage of the host list that leaves no
// trace in the log, and against a line for each failed read.
func TestHostListOutageIsLogged(t *testing.T) {
	g := NewWithT(t)
	log, hook := logtest.NewNullLogger()
	c := &Control{Options: Options{Log: logrus.NewEntry(log)}}
	for n, err := range []error{nil, errors.New("no answer"), errors.New("no answer"), nil, nil} {
		c.logHostList(time.Duration(n)*time.Second, err)
	}
	g.Expect(hook.Entries).To(HaveLen(2))
	g.Expect(hook.Entries[0].Message).To(Equal("host list does not answer; the last known hosts stay"))
	g.Expect(hook.Entries[1].Data).To(HaveKeyWithValue("away_ms", int64(2000)))
}
