package idempotency

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// claimPrefix is where claims stand in the platform's service.
const claimPrefix = "croftyard/once/"

// keySeparator stands between a group and its caller's key; neither holds it.
const keySeparator = "\x00"

// ScopedKey joins a group and its caller's Idempotency-Key: groups do not share keys.
func ScopedKey(group, key string) string {
	return group + keySeparator + key
}

// CallersKey is the Idempotency-Key of a scoped key, as the caller sent it.
func CallersKey(scoped string) string {
	for i := range scoped {
		if scoped[i] == keySeparator[0] {
			return scoped[i+1:]
		}
	}
	return scoped
}

// claimKey is the service's key for a scoped key. Two hashes of it make 128
// bits, so that two keys do not meet.
func claimKey(scoped string) string {
	return fmt.Sprintf("%s%016x%016x", claimPrefix, xxhash.Sum64String(scoped), xxhash.Sum64String("once"+keySeparator+scoped))
}
