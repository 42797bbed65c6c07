package poison

import "fmt"

// The record also states which services are brittle, for the same reason: routers that all end forget
// it, and the first requests of those that start would end the replicas. It is in this record since
// each router reads that one at its start.

const (
	// MaxHeldServices bounds the brittle services in a record.
	MaxHeldServices = 32
	// maxServiceName bounds the name of a service in bytes, and maxStated the numbers, far above what
	// routers write.
	maxServiceName = 256
	maxStated      = 1 << 20
)

// BrittleService is a service whose replicas end if they turn away more requests.
type BrittleService struct {
	Service string `json:"service"`
	// Rejections is how many requests each replica may turn away in a second.
	Rejections int `json:"rejections"`
}

// Brittle is what a record states of brittle services.
type Brittle struct {
	Services []BrittleService
	// Routers is how many routers shared their replicas as the record was written.
	Routers int
}

// NewBrittle returns what a record states of the services in a list, as far as it fits, as a number of
// routers shares their replicas.
func NewBrittle(list []BrittleService, routers int) Brittle {
	var b Brittle
	for _, s := range list {
		if s.check() == nil && len(b.Services) < MaxHeldServices {
			b.Services = append(b.Services, s)
			b.Routers = min(routers, maxStated)
		}
	}
	return b
}

// add adds to the counts of a record what stands for each brittle service.
func (b Brittle) add(counts map[Digest]int) {
	for _, s := range b.Services {
		counts[NewDigest("", "brittle", s.Service, "", nil)] = 1 + s.Rejections
	}
}

// check returns an error if a router would not have written it.
func (b Brittle) check() error {
	if len(b.Services) > MaxHeldServices {
		return fmt.Errorf("%w: %d brittle services, %d allowed", ErrRecord, len(b.Services), MaxHeldServices)
	}
	if b.Routers < 0 || b.Routers > maxStated {
		return fmt.Errorf("%w: %d routers", ErrRecord, b.Routers)
	}
	for _, s := range b.Services {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s BrittleService) check() error {
	if s.Service == "" || len(s.Service) > maxServiceName || s.Rejections < 0 || s.Rejections > maxStated {
		return fmt.Errorf("%w: brittle service with a name of %d bytes, %d rejections", ErrRecord, len(s.Service), s.Rejections)
	}
	return nil
}
