package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
	"github.com/croftyard/croftyard/test/proxy"
)

// Times of faults.
const (
	// restartDelay is how soon an ended process is started again.
	restartDelay = 200 * time.Millisecond
	// seriesPause stands between two stops of a series.
	seriesPause = 700 * time.Millisecond
	// serveBeyond is how long a draining replica serves after the time to drain.
	serveBeyond = 1500 * time.Millisecond
	// entryLapse is how long a crashed replica stays listed: three heartbeats of 1.2 s.
	entryLapse = 3600 * time.Millisecond
)

// perform does one action. One whose target is under another fault already that
// excludes it is left out.
func (s *soak) perform(a action) {
	r := s.routers[a.Target%len(s.routers)]
	place := s.world.seats[a.Target%len(s.world.seats)]
	rnd := rand.New(rand.NewPCG(uint64(a.Target), uint64(a.At)))
	switch a.Kind {
	case kindTerm:
		s.term(r, rnd, 0)
	case kindTermFrozen:
		s.term(r, rnd, a.For)
	case kindRoll:
		s.each(func(r *router, n int) {
			// Stops overlap; a random source is for one of them.
			s.term(r, rand.New(rand.NewPCG(uint64(n), uint64(a.At))), 0)
		}, seriesPause)
	case kindKill:
		s.kill(r)
	case kindKillAll:
		s.each(func(r *router, _ int) { s.kill(r) }, 0)
	case kindFreeze:
		s.freeze(r, a.For)
	case kindHangUp:
		s.hangUp(r, rnd)
	case kindPublish:
		s.world.publish(func() { s.world.moved = !s.world.moved })
	case kindRevoke:
		s.world.revoke([]string{"north", "south"}[a.Target%2])
	case kindDrain:
		s.leave(place, rnd, true)
	case kindVanish:
		s.leave(place, rnd, false)
	case kindFaults:
		s.fault(place, rnd)
	case kindCrash:
		s.crash(place, rnd)
	case kindLink:
		s.harm(place, rnd, a.For)
	case kindReborn:
		s.reborn(place, rnd)
	case kindForeign:
		s.foreign(a, rnd)
	case kindSpoil:
		s.spoil(place, a, rnd)
	case kindDeadly:
		s.deadly(a)
	case kindDrill:
		s.drill(a, rnd)
	case kindOtherBuild:
		s.exchangeBuild(r, rnd)
	case kindRollBuild:
		s.each(func(r *router, n int) {
			s.exchangeBuild(r, rand.New(rand.NewPCG(uint64(n), uint64(a.At))))
		}, seriesPause)
	case kindAnnounce:
		s.announce(place, rnd, a.For)
	case kindRest:
		s.rest(place, rnd, a.For)
	case kindPartition:
		s.partition(rnd, a.For)
	case kindBrittle:
		s.brittle(rnd)
	case kindUndelimited:
		s.loseFraming(place, rnd)
	case kindRelease:
		s.release(a, rnd)
	case kindReleaseAll:
		s.releaseAll(a, rnd)
	case kindBreak:
		s.breakStreams(a, rnd)
	case kindSilence:
		s.silence(place, rnd)
	case kindDeadlyPart:
		s.deadlyParts(a)
	case kindLopsided:
		s.lopsided(r, a.For)
	case kindRestAll:
		s.restAll(place.options.Service, rnd, a.For)
	case kindLongFreeze:
		s.freeze(r, s.bounds.Revoke+a.For)
	default:
		s.strikeStore(a.Kind, r, a.For)
	}
}

// each does something to all routers, one after another.
func (s *soak) each(do func(r *router, n int), pause time.Duration) {
	for n, r := range s.routers {
		s.work.Go(func() { do(r, n) })
		time.Sleep(pause)
	}
}

// term stops a router as planned and starts it again, as the platform does: what has
// not ended in the grace time is killed. frozen is how long the process is frozen
// around the order; 0: not at all.
func (s *soak) term(r *router, rnd *rand.Rand, frozen time.Duration) {
	if !r.handling.TryLock() {
		return
	}
	defer r.handling.Unlock()
	s.stop(r, rnd, frozen)
	s.restart(r)
}

// stop stops a router as planned. r.handling is held.
func (s *soak) stop(r *router, rnd *rand.Rand, frozen time.Duration) {
	crowd := s.users.crowd(r, rnd)
	over := s.record.disturb(Disturbance{Router: r.name, What: kindTerm, Planned: true})
	defer over()
	if frozen > 0 {
		thawed := s.record.disturb(Disturbance{Router: r.name, What: kindTermFrozen})
		r.signal(syscall.SIGSTOP)
		time.AfterFunc(frozen, func() {
			r.signal(syscall.SIGCONT)
			thawed()
		})
	}
	r.signal(syscall.SIGTERM)
	crowd()
	if !r.awaitEnd(s.bounds.Grace) {
		if frozen == 0 {
			s.record.problem("%s did not end within the grace time", r.name)
		}
		r.kill()
	}
}

func (s *soak) kill(r *router) {
	if !r.handling.TryLock() {
		return
	}
	defer r.handling.Unlock()
	over := s.record.disturb(Disturbance{Router: r.name, What: kindKill})
	r.kill()
	over()
	s.restart(r)
}

// restart starts a process and notes the start as a disturbance until it is ready.
func (s *soak) restart(r *router) {
	time.Sleep(restartDelay)
	r.reading.Lock()
	defer r.reading.Unlock()
	over := s.record.disturb(Disturbance{Router: r.name, What: "start"})
	defer over()
	if err := r.start(); err != nil {
		s.record.problem("%v", err)
		return
	}
	s.awaitReady(r)
}

func (s *soak) freeze(r *router, d time.Duration) {
	if !r.handling.TryLock() {
		return
	}
	defer r.handling.Unlock()
	over := s.record.disturb(Disturbance{Router: r.name, What: kindFreeze})
	defer over()
	r.signal(syscall.SIGSTOP)
	time.Sleep(d)
	r.signal(syscall.SIGCONT)
}

// hangUp changes the settings file and says so, now and then with a broken file first.
func (s *soak) hangUp(r *router, rnd *rand.Rand) {
	r.reading.Lock()
	defer r.reading.Unlock()
	if rnd.IntN(3) == 0 {
		s.writeSettings(r, "[instance]\nname =\n")
		r.hup()
		time.Sleep(shortestFault)
	}
	const repeats = 30
	s.writeSettings(r, s.settingsOf(r, repeats+rnd.IntN(repeats)))
	r.hup()
}

func (s *soak) writeSettings(r *router, text string) {
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		s.record.problem("%v", err)
	}
}

// leave ends a replica as planned: it says that it drains, or its entry just
// vanishes, and it serves on for longer than it has to. Its successor stands at the
// same or another address.
func (s *soak) leave(place *seat, rnd *rand.Rand, declared bool) {
	if !place.handling.TryLock() {
		return
	}
	defer place.handling.Unlock()
	replica, link, listed := place.now()
	replica.Leave()
	if s.plan.Extras == extraStatements {
		replica.Announce()
	}
	key := platform.ReplicaKey(replica.ID)
	if declared {
		s.record.departure(replica.ID, s.world.store.Put(key, replica.Entry(listed, platform.ReplicaDraining)))
	} else {
		s.record.departure(replica.ID, s.world.store.Remove(key))
	}
	time.Sleep(s.bounds.Drain + serveBeyond)
	s.world.store.Remove(key)
	s.succeed(place, replica, link, rnd)
}

// crash ends a replica at once. Its entry stays until it lapses, beside the next
// incarnation's.
func (s *soak) crash(place *seat, rnd *rand.Rand) {
	if !place.handling.TryLock() {
		return
	}
	defer place.handling.Unlock()
	replica, link, _ := place.now()
	over := s.record.disturb(Disturbance{Instance: replica.ID, What: kindCrash})
	replica.Crash()
	over()
	time.Sleep(between(rnd, shortestFault, longestFault))
	s.succeed(place, replica, link, rnd)
	// Meanwhile replicas of other services may come to stand where it stood.
	time.Sleep(entryLapse)
	s.record.departure(replica.ID, s.world.store.Remove(platform.ReplicaKey(replica.ID)))
}

// succeed ends an incarnation and starts the next one: where it stood, at a new
// address, or where a replica of any service once stood.
func (s *soak) succeed(place *seat, replica *standin.Replica, link *proxy.Proxy, rnd *rand.Rand) {
	replica.Crash()
	ended := replica.EndedAt()
	address := replica.Address()
	if rnd.IntN(3) > 0 {
		address = s.world.reuse()
		s.world.free(replica.Address(), ended)
	}
	if err := s.world.open(place, address, link != nil); err != nil {
		s.record.problem("%v", err)
	}
}

// fault makes the next requests at a replica fail in some ways: so many that those
// of each kind of route meet some.
func (s *soak) fault(place *seat, rnd *rand.Rand) {
	const fewest, more = 3, 8
	replica, _, _ := place.now()
	for range fewest + rnd.IntN(more) {
		replica.Fail(standin.ReplicaFaults[rnd.IntN(len(standin.ReplicaFaults))])
	}
}

// loseFraming makes the next requests at a replica get answers that end with their
// connection, complete and broken off.
func (s *soak) loseFraming(place *seat, rnd *rand.Rand) {
	const fewest, more = 8, 16
	replica, _, _ := place.now()
	for range fewest + rnd.IntN(more) {
		replica.Fail(pick(rnd, standin.FramingFaults))
	}
}

// harm makes the link before a replica fail for a while.
func (s *soak) harm(place *seat, rnd *rand.Rand, d time.Duration) {
	replica, link, _ := place.now()
	if link == nil {
		return
	}
	over := s.record.disturb(Disturbance{Instance: replica.ID, What: kindLink})
	defer over()
	faults := []proxy.Faults{{Cut: true}, {Silent: true}, {Delay: 30 * time.Millisecond}, {ResetAfter: 200 + rnd.IntN(2000)}, {DropAnswers: true}}
	link.Set(faults[rnd.IntN(len(faults))])
	time.Sleep(d)
	link.Set(proxy.Faults{})
}

// slowStore is how late the answers of a slow store are.
const slowStore = 600 * time.Millisecond

// strikeStore makes the store fail for a while, for one router or for all.
func (s *soak) strikeStore(kind string, r *router, d time.Duration) {
	if kind == kindRefuse {
		defer s.record.disturb(Disturbance{Router: r.name, What: kind})()
		s.world.store.Refuse(r.name, http.StatusTooManyRequests)
		time.Sleep(d)
		s.world.store.Refuse(r.name, 0)
		return
	}
	if !s.striking.TryLock() {
		return
	}
	defer s.striking.Unlock()
	defer s.record.disturb(Disturbance{What: kind})()
	faults := map[string]standin.StoreFaults{
		kindStoreDown:   {Status: http.StatusServiceUnavailable},
		kindStoreSlow:   {Slow: slowStore},
		kindStoreSilent: {Silent: true},
		kindStoreLoses:  {LoseAnswers: true},
	}
	known, found := faults[kind]
	if !found {
		panic(fmt.Sprintf("soak: no such fault: %s", kind))
	}
	s.world.store.Set(known)
	time.Sleep(d)
	s.world.store.Set(standin.StoreFaults{})
}
