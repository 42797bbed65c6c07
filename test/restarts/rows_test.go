package main

import (
	"testing"
)

const seed = 1

// Guards against a restart of all routers that lets requests crash more replicas than users allow.
func TestDeadlyRequestsAfterRestarts(t *testing.T) {
	playShort(t, deadly{}, seed, [][2]string{{deadlyBody, endKilled}, {deadlyPart, endInTurn}})
}

// Guards against the same where all routers end again soon after their return.
func TestDeadlyRequestsAfterTwoRestarts(t *testing.T) {
	playShort(t, deadly{}, seed, [][2]string{{deadlyBody, endTwice}})
}

// Guards against what runs once being run again, or refused although it runs, as routers end.
func TestOnceAfterRestarts(t *testing.T) {
	playShort(t, once{}, seed, [][2]string{{replicasFull, endKilled}, {replicasFail, endInTurn}})
}

// Guards against replicas that are sent requests in their rest.
func TestRestAfterRestarts(t *testing.T) {
	playShort(t, rest{}, seed, [][2]string{{mostRest, endKilled}})
}

// Guards against orders of the operator that routers do not know after their return.
func TestOrdersAfterRestarts(t *testing.T) {
	playShort(t, orders{}, seed, [][2]string{{evacuated, endKilled}, {revoked, endInTurn}})
}

// Guards against a budget for repeats that is full again after each restart.
func TestRetriesAfterRestarts(t *testing.T) {
	playShort(t, retries{}, seed, [][2]string{{allFull, endTwice}})
}
