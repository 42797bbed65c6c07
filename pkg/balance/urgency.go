package balance

import "time"

// urgentShare is the part of the requests in flight that must be at replicas above their
// bound for counts to be urgent. Users allow somewhat more.
const urgentShare = 0.01

// serviceLoad is the load of one service.
type serviceLoad struct {
	total float64
	busy  []*replica
}

// CountsUrgent reports whether so many requests are at replicas above their bound that the
// other routers need new counts soon. While replicas are far below their bounds, older
// counts do no harm.
func (b *Balancer) CountsUrgent(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[string]*serviceLoad)
	for _, r := range b.loadedReplicas(now) {
		s := loads[r.Service]
		if s == nil {
			s = &serviceLoad{}
			loads[r.Service] = s
		}
		s.total += b.load(r, now)
		s.busy = append(s.busy, r)
	}
	total, above := 0.0, 0.0
	for service, s := range loads {
		bound := b.boundForMean(s.total / float64(max(len(b.services[service]), 1)))
		total += s.total
		for _, r := range s.busy {
			if load := b.load(r, now); load > bound {
				above += load
			}
		}
	}
	return above > urgentShare*total
}

// loadedReplicas returns the replicas at which any router is known to run requests.
func (b *Balancer) loadedReplicas(now time.Time) []*replica {
	var list []*replica
	for r := range b.busy {
		list = append(list, r)
	}
	if b.peerTotalsExpired(now) {
		b.sumPeerCounts(now)
	}
	for _, r := range b.peerBusy {
		if r.running == 0 {
			list = append(list, r)
		}
	}
	return list
}
