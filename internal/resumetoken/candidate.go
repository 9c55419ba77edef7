package resumetoken

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Candidate is a node whose guard can be chosen as the arbiter of new tokens.
type Candidate struct {
	Name      string
	GuardID   GuardID
	IsReady   bool // the guard has capacity and can write, and the status of a peer is current
	IsDurable bool // the records of the guard survive a restart
}

// ChooseArbiter chooses the arbiter of a new token with the given nonce. A ready issuer that is
// not draining is the arbiter itself, which saves a request to a peer if the client reconnects
// to the issuer. Otherwise a ready peer is chosen by the nonce, so that tokens are spread over
// the peers. If no peer is ready, a ready issuer with a durable guard is the arbiter even while
// it drains. ChooseArbiter returns false if there is no arbiter; then no token must be minted.
func ChooseArbiter(issuer Candidate, isDraining bool, peers []Candidate, nonce Nonce) (Candidate, bool) {
	if !isDraining && issuer.IsReady {
		return issuer, true
	}
	ready := slices.DeleteFunc(slices.Clone(peers), func(peer Candidate) bool { return !peer.IsReady })
	if len(ready) == 0 {
		return issuer, issuer.IsReady && issuer.IsDurable
	}
	// Rendezvous hashing (Thaler and Ravishankar, 1998): when a peer is added or removed, only
	// its own share of the nonces changes its arbiter.
	return slices.MaxFunc(ready, func(a, b Candidate) int {
		return cmp.Compare(rendezvousWeight(a, nonce), rendezvousWeight(b, nonce))
	}), true
}

func rendezvousWeight(candidate Candidate, nonce Nonce) uint64 {
	sum := sha256.Sum256(append(nonce[:], candidate.Name...))
	return binary.BigEndian.Uint64(sum[:])
}
