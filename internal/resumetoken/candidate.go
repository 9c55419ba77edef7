package resumetoken

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// Candidate is a node whose guard may arbitrate new tokens.
type Candidate struct {
	Name      string
	GuardID   GuardID
	IsReady   bool // its guard has capacity and can write, and a peer's status is current
	IsDurable bool // its guard's records survive a restart
}

// ChooseArbiter chooses the arbiter of a new token with this nonce. It is the issuer itself,
// which spares a request where the client returns there; an issuer that drains chooses a ready
// peer, spread by the nonce. Without one it stays the issuer, if its guard is durable. It is
// false if nobody can arbitrate: then no token is to be minted.
func ChooseArbiter(issuer Candidate, isDraining bool, peers []Candidate, nonce Nonce) (Candidate, bool) {
	if !isDraining && issuer.IsReady {
		return issuer, true
	}
	ready := slices.DeleteFunc(slices.Clone(peers), func(peer Candidate) bool { return !peer.IsReady })
	if len(ready) == 0 {
		return issuer, issuer.IsReady && issuer.IsDurable
	}
	// Rendezvous hashing (Thaler and Ravishankar, 1998): a peer that comes or goes moves only
	// its own share.
	return slices.MaxFunc(ready, func(a, b Candidate) int {
		return cmp.Compare(rendezvousWeight(a, nonce), rendezvousWeight(b, nonce))
	}), true
}

func rendezvousWeight(candidate Candidate, nonce Nonce) uint64 {
	sum := sha256.Sum256(append(nonce[:], candidate.Name...))
	return binary.BigEndian.Uint64(sum[:])
}
