/*
 * Adoption: three routers take versions of the configuration from the service
 * and from peers, one of them restarts, the service goes down and comes back,
 * and the version grows meanwhile. README.md ties each step to its Go function.
 * MUTANT_* leave one guard out and must be caught.
 */

#define ROUTERS 3
#define VERSIONS 3

/* The version in the service, which head.pml moves. */
byte version = 0;
bool down = false;

/* Routers: the version in force, 0 before the first. */
byte force[ROUTERS];

active proctype Head() {
	do
	:: atomic { !down && version < VERSIONS -> version++ }
	:: break
	od
}

/* Adoption: only a larger version. */
inline offer(r, v) {
#ifdef MUTANT_ADOPT_ANY
	assert(v >= force[r]);
	force[r] = v
#else
	if
	:: v > force[r] -> force[r] = v
	:: else
	fi
#endif
}

/* A router hears of versions from the service and from peers; what it heard may
   be old by the time it adopts. */
proctype Router(byte r; byte steps; bool restarts) {
	byte heard = 0;
start:
	/* Not ready before the service answered, or all reachable peers did. */
	if
#ifdef MUTANT_READY_EARLY
	:: true
#endif
	:: atomic { !down && version > 0 -> offer(r, version) }
	:: atomic {
		down && (force[(r+1)%ROUTERS] > 0 || force[(r+2)%ROUTERS] > 0) ->
		offer(r, force[(r+1)%ROUTERS]);
		offer(r, force[(r+2)%ROUTERS]);
		assert(force[r] >= force[(r+1)%ROUTERS] && force[r] >= force[(r+2)%ROUTERS])
	   }
	:: goto end
	fi;
	atomic { assert(force[r] > 0) };
	do
	:: atomic {
		steps > 0 -> steps--;
		if
		:: !down -> heard = version
		:: heard = force[(r+1) % ROUTERS]
		:: heard = force[(r+2) % ROUTERS]
		fi
	   };
		/* Time passes between hearing and adopting. */
		atomic {
			if
			:: heard > 0 -> offer(r, heard)
			:: else
			fi;
			heard = 0
		}
	:: restarts -> atomic { restarts = false; force[r] = 0 }; goto start
	:: break
	od;
end:
	skip
}

active proctype Service() {
	/* Two outages. */
	if
	:: down = true; down = false
	:: skip
	fi;
	if
	:: down = true; down = false
	:: down = true
	:: skip
	fi
}

init {
	atomic { run Router(0, 1, false); run Router(1, 1, false); run Router(2, 2, true) }
}
