package entry

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/pkg/poison"
)

func poisonLimits(r settings.Routes) poison.Limits {
	return poison.Limits{Crashes: r.Crashes, Hold: r.CrashHold}
}

func partLimits(r settings.Routes) poison.Limits {
	return poison.Limits{Crashes: r.PartCrashes, Hold: r.CrashHold}
}

// newPartPoison returns a tracker of parts of prompts that crash replicas, and logs its changes.
func newPartPoison(r settings.Routes, log *event.Log) *poison.PartTracker {
	return poison.NewPartTracker(poison.Options{
		Limits: partLimits(r),
		OnHeld: func(d poison.Digest, crashes int, hold time.Duration) {
			log.Write(event.PartHeld, event.F("part", d.PartName()), event.F("crashes", crashes), event.F("hold_ms", hold.Milliseconds()))
		},
		OnCleared: func(d poison.Digest) { log.Write(event.PartCleared, event.F("part", d.PartName())) },
	})
}

// newPoison returns a tracker of requests that crash replicas, and logs its changes.
func newPoison(r settings.Routes, log *event.Log) *poison.Tracker {
	return poison.New(poison.Options{
		Limits: poisonLimits(r),
		OnHeld: func(d poison.Digest, crashes int, hold time.Duration) {
			log.Write(event.RequestHeld, event.F("digest", d.String()), event.F("crashes", crashes), event.F("hold_ms", hold.Milliseconds()))
		},
		OnCleared: func(d poison.Digest) { log.Write(event.RequestCleared, event.F("digest", d.String())) },
	})
}
