package continuation

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/origin"
	"github.com/croftyard/croftyard/pkg/route"
)

// ObserverOptions are what an Observer needs of its router.
type ObserverOptions struct {
	// Origins may be nil: then nothing is noted.
	Origins  Origins
	Watcher  *watch.Watcher
	Holder   *freshness.Holder
	Balancer *balance.Balancer
	// ListPeriod returns the usual pause between two reads of the list of replicas.
	ListPeriod func() time.Duration
}

// Observer notes for Origins which versions serve and where routes lead.
type Observer struct {
	options ObserverOptions
	// routes are the routes that were noted last.
	routes atomic.Pointer[observedRoutes]
}

// NewObserver returns an Observer.
func NewObserver(o ObserverOptions) *Observer { return &Observer{options: o} }

// MayStateVersions reports whether replicas of a service state the version of their software, did so
// within a stream's lifetime, or are not known.
func (o *Observer) MayStateVersions(service string) bool {
	o.ObserveVersions(service)
	return !o.StatesNoVersion(service) || o.statedVersions(service) || !o.options.Origins.Served(service, steady.Now()).Complete
}

// statedVersions reports whether replicas that state the version of their software served within a
// stream's lifetime.
func (o *Observer) statedVersions(service string) bool {
	return slices.ContainsFunc(o.options.Origins.Served(service, steady.Now()).Versions, func(version string) bool { return version != "" })
}

// StatesNoVersion reports whether replicas of a service are listed and none states the version of its
// software.
func (o *Observer) StatesNoVersion(service string) bool {
	return len(o.options.Balancer.Versions(service)) > 0 && !o.statesVersions(service)
}

// statesVersions reports whether replicas of a service state the version of their software.
func (o *Observer) statesVersions(service string) bool {
	return slices.ContainsFunc(o.options.Balancer.Versions(service), func(version string) bool { return version != "" })
}

// observedRoutes are the texts of a configuration's routes.
type observedRoutes struct {
	table *route.Table
	texts []string
}

// ObserveNewRoutes notes the routes of a configuration that was not observed yet.
func (o *Observer) ObserveNewRoutes() {
	if observed := o.routes.Load(); observed == nil || observed.table != o.options.Holder.Current().Table {
		o.ObserveRoutes()
	}
}

// ObserveRoutes notes the routes of the configuration.
func (o *Observer) ObserveRoutes() {
	table, observed := o.options.Holder.Current().Table, o.routes.Load()
	if table == nil {
		return
	}
	if observed == nil || observed.table != table {
		observed = &observedRoutes{table, origin.DescribeRoutes(table.Config().Routes)}
		o.routes.Store(observed)
	}
	now := steady.Now()
	o.options.Origins.Observe(origin.Routes, observed.texts, o.options.Watcher.Age(now) <= o.listLag(), now)
}

// ObserveVersions notes the versions of a service.
func (o *Observer) ObserveVersions(service string) {
	now := steady.Now()
	o.options.Origins.Observe(service, o.options.Balancer.Versions(service), o.options.Watcher.Age(now) <= o.listLag(), now)
}

// Observe notes which versions serve, where routes lead, and how long streams may last.
func (o *Observer) Observe() {
	state := o.options.Holder.Current()
	if state.Table == nil || o.options.Origins == nil {
		return
	}
	config := state.Table.Config()
	o.options.Origins.SetLifetime(streamLifetime(config)+o.listLag(), steady.Now())
	o.ObserveRoutes()
	for _, service := range config.Services {
		o.ObserveVersions(service.Name)
	}
}

// ResumableServices returns the services whose streams may be taken up and whose replicas state the
// version of their software, or did so within a stream's lifetime.
func (o *Observer) ResumableServices() []string {
	return slices.DeleteFunc(o.ServicesWithResumableRoutes(), func(service string) bool {
		return !o.statesVersions(service) && (o.options.Origins == nil || !o.statedVersions(service))
	})
}

// ServicesWithResumableRoutes returns the services whose streams may be taken up.
func (o *Observer) ServicesWithResumableRoutes() []string {
	state := o.options.Holder.Current()
	if state.Table == nil {
		return nil
	}
	var names []string
	config := state.Table.Config()
	for i := range config.Routes {
		r := &config.Routes[i]
		for _, share := range r.Shares {
			if r.Resumable && !slices.Contains(names, share.Service) {
				names = append(names, share.Service)
			}
		}
	}
	return names
}

// MaxLifetime bounds how long after its first event a stream may be taken up, and is
// assumed before there is a configuration.
const MaxLifetime = 5 * time.Minute

const (
	// leastListLag is by how much the lists of two routers differ in age at least, and
	// listLagPeriods the same in periods of reads: one read may fail.
	leastListLag   = 5 * time.Second
	listLagPeriods = 2
)

// listLag is by how much the lists of two routers differ in age. Older ones are not current.
func (o *Observer) listLag() time.Duration {
	return max(leastListLag, listLagPeriods*o.options.ListPeriod())
}

// streamLifetime returns how long after its first event the caller of a stream may wait for its end.
func streamLifetime(config route.Config) time.Duration {
	longest := time.Duration(0)
	for i := range config.Routes {
		r := &config.Routes[i]
		if r.Resumable {
			longest = max(longest, cmp.Or(r.Timeout, MaxLifetime))
		}
	}
	return min(longest, MaxLifetime)
}
