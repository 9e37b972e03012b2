package mirror

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Parameters of the simulated deployment.
const (
	simHosts       = 9 // three in each of three regions
	simContact     = 4 * time.Second
	simConfigApply = 2500 * time.Millisecond
	simDuration    = time.Minute
	simStoreDelay  = 4 * time.Millisecond
	simCheckPeriod = 50 * time.Millisecond
	// simActivityPeriod is the length of a busy and of a quiet time of the servers.
	simActivityPeriod = 6 * time.Second
	// simMaxCopyAge is the greatest age of a copy from which the store is restored.
	simMaxCopyAge = 6 * time.Second
)

// simHost is an entry host of a simulation: a Syncer and what it has told others.
type simHost struct {
	sim    *simulation
	number int

	mu             sync.Mutex
	syncer         *Syncer
	cancel         context.CancelFunc
	version        int // in force, 0 if there is none
	told           map[string]string
	cut            bool // reaches neither the store nor other hosts
	disturbedUntil time.Time
}

// Fetch implements Store.
func (h *simHost) Fetch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	if h.isCut() {
		time.Sleep(900 * time.Millisecond)
		return Batch{}, errUnavailable
	}
	return h.sim.store.fetch(ctx, h.number, after, wait)
}

// Call implements PeerClient.
func (h *simHost) Call(ctx context.Context, address, _ string, params, result any) error {
	n, _ := strconv.Atoi(address)
	peer := h.sim.hosts[n]
	delay := time.Millisecond
	if n/3 != h.number/3 {
		delay = 55 * time.Millisecond
	}
	time.Sleep(delay)
	peer.mu.Lock()
	syncer := peer.syncer
	peer.mu.Unlock()
	if syncer == nil || h.isCut() || peer.isCut() {
		select {
		case <-ctx.Done():
		case <-time.After(peerTimeout):
		}
		return errors.New("no answer")
	}
	a, err := syncer.HandleFetch(ctx, params.(FetchParams))
	time.Sleep(delay)
	*result.(*Answer) = a
	return err
}

func (h *simHost) isCut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut
}

// sources returns the hosts of the own region and the first of each other one.
func (h *simHost) sources() []Source {
	var list []Source
	for n := range simHosts {
		if n/3 == h.number/3 || n%3 == 0 {
			list = append(list, Source{Name: strconv.Itoa(n), Address: strconv.Itoa(n), Self: n == h.number})
		}
	}
	slices.SortStableFunc(list, func(a, b Source) int {
		n, m := a.Name[0]-'0', b.Name[0]-'0'
		own := byte(h.number / 3)
		switch {
		case n/3 == own && m/3 != own:
			return -1
		case n/3 != own && m/3 == own:
			return 1
		}
		return 0
	})
	return list
}

// start starts a process that knows nothing.
func (h *simHost) start() {
	ctx, cancel := context.WithCancel(h.sim.ctx)
	s := NewSyncer(h, h, New(byNumber, "servers/"), TimingFor(simConfigApply), quietLog())
	s.Sources = h.sources
	s.Changed = func(_ uint64, changes []Item) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, i := range changes {
			if h.told[i.Key] = string(i.Value); i.Deleted {
				delete(h.told, i.Key)
			}
			// As package platform, a host keeps the highest version.
			if n, err := strconv.Atoi(string(i.Value)); i.Key == "op/config" && err == nil {
				h.version = max(h.version, n)
			}
		}
	}
	h.mu.Lock()
	h.syncer, h.cancel, h.version, h.told = s, cancel, 0, map[string]string{}
	h.mu.Unlock()
	go func() { _ = s.Run(ctx) }()
}

// stop ends the process.
func (h *simHost) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancel()
	h.syncer = nil
}

func (h *simHost) disturb(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbedUntil = until
}

// simulation is a run of simHosts with random faults.
type simulation struct {
	rng   *rand.Rand
	ctx   context.Context
	store *simStore
	hosts []*simHost

	mu       sync.Mutex
	versions []time.Time // when the store confirmed each version, counted from 1
	written  map[string]string
	events   []string
	began    time.Time
	ended    bool   // nobody writes any more
	wrong    string // the first fault that was found
}

// firstFault records a fault unless it is "" or there is an earlier one, and returns the first.
func (s *simulation) firstFault(found string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wrong == "" {
		s.wrong = found
	}
	return s.wrong
}

func (s *simulation) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// write writes an item as the operator or a backend server does.
func (s *simulation) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended && s.store.put(key, value) {
		s.written[key] = value
	}
}

func (s *simulation) submit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := strconv.Itoa(len(s.versions) + 1)
	if !s.ended && s.store.put("op/config", text) {
		s.written["op/config"] = text
		s.versions = append(s.versions, time.Now())
	}
}

// writeAgain writes what the store has lost, with a prefix.
func (s *simulation) writeAgain(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.written {
		s.store.mu.Lock()
		current := string(s.store.items[key].Value)
		s.store.mu.Unlock()
		if strings.HasPrefix(key, prefix) && current != value {
			s.store.put(key, value)
		}
	}
}

// storeFault changes the store for a time in which it counts as disturbed.
func (s *simulation) storeFault(d time.Duration, begin, end func(*simStore)) {
	s.store.mu.Lock()
	s.store.disturbedUntil = time.Now().Add(d)
	begin(s.store)
	s.store.mu.Unlock()
	time.Sleep(d)
	s.store.mu.Lock()
	end(s.store)
	s.store.mu.Unlock()
}

// restoreStore takes the store down for a time and restores it from a copy. The operator writes
// its items again at once and submits a configuration; the servers follow later.
func (s *simulation) restoreStore(d, age, rewrite time.Duration) {
	s.storeFault(d, func(st *simStore) { st.down = true }, func(*simStore) {})
	s.store.restore(age)
	s.store.mu.Lock()
	s.store.down = false
	s.store.mu.Unlock()
	time.Sleep(rewrite / 2)
	s.writeAgain("op/")
	s.submit()
	time.Sleep(rewrite / 2)
	s.writeAgain("servers/")
}

// injectFault runs one random fault to its end.
func (s *simulation) injectFault() {
	d := time.Duration(300+s.rng.Intn(2700)) * time.Millisecond
	age := time.Duration(s.rng.Int63n(int64(simMaxCopyAge)))
	rewrite := time.Duration(s.rng.Intn(2000)) * time.Millisecond
	h := s.hosts[s.rng.Intn(simHosts)]
	share := s.rng.Intn(simHosts)
	switch n := s.rng.Intn(9); n {
	case 0, 1, 2:
		s.logEvent("store down for %v and restored from a copy of %v ago, written again within %v", d/2, age, rewrite)
		s.restoreStore(d/2, age, rewrite)
	case 3:
		s.logEvent("store down for %v", d)
		s.storeFault(d, func(st *simStore) { st.down = true }, func(st *simStore) { st.down = false })
	case 4:
		s.logEvent("store refuses all but %d hosts for %v", share, d)
		s.storeFault(d, func(st *simStore) {
			for n := share; n < simHosts; n++ {
				st.refused[n] = true
			}
		}, func(st *simStore) { clear(st.refused) })
	case 5:
		s.logEvent("store compacts its history")
		s.storeFault(0, func(st *simStore) { st.compactedTo = st.rev }, func(*simStore) {})
	case 6, 7:
		s.logEvent("host %d cut off for %v", h.number, d)
		h.disturb(time.Now().Add(d))
		h.mu.Lock()
		h.cut = true
		h.mu.Unlock()
		time.Sleep(d)
		h.mu.Lock()
		h.cut = false
		h.mu.Unlock()
	default:
		s.logEvent("host %d replaced after %v", h.number, d/4)
		h.disturb(time.Now().Add(d / 4))
		h.stop()
		time.Sleep(d / 4)
		h.start()
	}
}

// writers write configurations, entries of servers and copies of the store until the
// simulation ends. rng is their own, so that faults do not depend on their calls.
func (s *simulation) writers(rng *rand.Rand) {
	go func() {
		for s.ctx.Err() == nil {
			s.submit()
			time.Sleep(time.Duration(300+rng.Intn(2500)) * time.Millisecond)
		}
	}()
	go func() {
		reports := 0
		for s.ctx.Err() == nil {
			reports++
			value := strconv.Itoa(reports)
			if reports%7 == 0 {
				value = ""
			}
			s.write(fmt.Sprint("servers/", reports%11), value)
			// Busy and quiet times alternate: after a restore in a quiet time, the revision
			// stays below that of before for long.
			pause := 20 * time.Millisecond
			if time.Since(s.began)/simActivityPeriod%2 == 1 {
				pause = time.Second
			}
			time.Sleep(pause)
		}
	}()
	go func() {
		for s.ctx.Err() == nil {
			s.store.mu.Lock()
			s.store.copies = append(s.store.copies, simCopy{time.Now(), s.store.rev, maps.Clone(s.store.items)})
			for time.Since(s.store.copies[0].madeAt) > simMaxCopyAge {
				s.store.copies = s.store.copies[1:]
			}
			s.store.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

// late returns a host whose configuration is older than the promise allows, "" if there is
// none. Hosts and the store must have been undisturbed for simContact.
func (s *simulation) late() string {
	now := time.Now()
	s.store.mu.Lock()
	disturbed := now.Before(s.store.disturbedUntil.Add(simContact)) || s.store.down
	s.store.mu.Unlock()
	if disturbed {
		return ""
	}
	s.mu.Lock()
	due := 0
	for n, confirmed := range s.versions {
		if now.Sub(confirmed) > simConfigApply {
			due = n + 1
		}
	}
	s.mu.Unlock()
	for _, h := range s.hosts {
		h.mu.Lock()
		version, undisturbed := h.version, now.After(h.disturbedUntil.Add(simContact))
		h.mu.Unlock()
		if undisturbed && version < due {
			return fmt.Sprintf("%.2f s: host %d has version %d, %d was due", now.Sub(s.began).Seconds(), h.number, version, due)
		}
	}
	return ""
}

// different returns a host that was told something else than the store contains, "" if there
// is none. The caller holds s.mu.
func (s *simulation) different() string {
	want := map[string]string{}
	for key, i := range s.store.items {
		want[key] = string(i.Value)
	}
	for _, h := range s.hosts {
		h.mu.Lock()
		told := maps.Clone(h.told)
		h.mu.Unlock()
		if !maps.Equal(told, want) {
			return fmt.Sprintf("host %d knows %v, the store contains %v", h.number, told, want)
		}
	}
	return ""
}

// simulate runs a simulation and returns what was wrong, and its faults.
func simulate(t *testing.T, seed int64) (wrong string, events []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // all goroutines end
		}()
		s := &simulation{
			rng: rand.New(rand.NewSource(seed)), ctx: ctx, began: time.Now(), written: map[string]string{},
			store: &simStore{rev: 1, items: map[string]Item{}, refused: map[int]bool{}},
		}
		for n := range simHosts {
			s.hosts = append(s.hosts, &simHost{sim: s, number: n, disturbedUntil: s.began})
		}
		s.submit()
		for _, h := range s.hosts {
			h.start()
		}
		s.writers(rand.New(rand.NewSource(seed + 1)))
		go func() {
			for ctx.Err() == nil && s.firstFault("") == "" {
				s.firstFault(s.late())
				time.Sleep(simCheckPeriod)
			}
		}()
		for time.Since(s.began) < simDuration && s.firstFault("") == "" {
			time.Sleep(time.Duration(s.rng.Intn(6000)) * time.Millisecond)
			s.injectFault()
		}
		time.Sleep(simContact + simConfigApply)
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
		time.Sleep(formerItemTime + simContact)
		s.mu.Lock()
		different := s.different()
		events = s.events
		s.mu.Unlock()
		wrong = s.firstFault(different)
	})
	return wrong, events
}

// TestConfigurationInForceInTime guards against hosts that have an older configuration than
// promised while the store is restored from older copies, fails, or refuses some hosts, and
// while hosts are cut off and replaced. SIM_SEEDS is the number of seeds, SIM_FIRST the first.
func TestConfigurationInForceInTime(t *testing.T) {
	number := func(name string, fallback int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return fallback
	}
	first := number("SIM_FIRST", 1)
	for seed := first; seed < first+number("SIM_SEEDS", 4); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			if wrong, events := simulate(t, int64(seed)); wrong != "" {
				t.Errorf("%s\n%s", wrong, strings.Join(events, "\n"))
			}
		})
	}
}
