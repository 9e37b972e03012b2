package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkSteer measures a directory answer that is cached after the first call,
// against a lower bound n of the number of entry hosts: each of the 93 failure domains
// has n/93+1 of them.
func BenchmarkSteer(b *testing.B) {
	for _, n := range []int{27, 300, 6200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []*Host
			domains := map[string]string{}
			for i := range 93 {
				domain, region := fmt.Sprint("d", i), fmt.Sprint("r", i/3)
				domains[domain] = region
				all = append(all, hosts(domain, region, make([]float64, n/93+1)...)...)
			}
			s := New(1, nil, nil, all, nil, domains)
			b.ReportAllocs()
			for b.Loop() {
				s.Steer("r0", "d0")
			}
		})
	}
}
