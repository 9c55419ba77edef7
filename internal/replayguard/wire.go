package replayguard

import (
	"bufio"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"coralrelay/internal/resumetoken"
)

// What ledgers say to each other: lines, each sealed with the peer subkey of a key
// that both have. An answer's seal covers the challenge that the asking side drew
// for the connection and the question's number, so that no old answer fits.
//
//	HELLO CHALLENGE SEQ KEY SEAL
//	LEDGER SEQ NAME ID ready|full stays|goes SEAL
//	SPEND CHALLENGE SEQ KEY CLAIMANT TOKEN SEAL
//	VERDICT SEQ VERDICT SEAL
//	NO                                  and a close, to who has no key
const (
	hello   = "HELLO"
	aboutMe = "LEDGER"
	spend   = "SPEND"
	verdict = "VERDICT"
	no      = "NO"
	// longest is the longest line, in bytes; the longest is a SPEND.
	longest = 1024
)

var errLine = errors.New("malformed line")

// readWords reads a line of n words; n 0 takes any number.
func readWords(r *bufio.Reader, n int) ([]string, error) {
	b, err := r.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	words := strings.Fields(string(b))
	if len(words) == 0 || n > 0 && len(words) != n {
		return nil, fmt.Errorf("%w: %.60q", errLine, b)
	}
	return words, nil
}

// sealed joins words with their seal.
func sealed(k *resumetoken.Key, context string, words ...string) string {
	return strings.Join(append(words, seal(k, context, words)), " ") + "\r\n"
}

func seal(k *resumetoken.Key, context string, words []string) string {
	return hex.EncodeToString(k.PeerMAC(append([]string{context}, words...)...))
}

// unseal tells whether the last word is the seal of those before.
func unseal(k *resumetoken.Key, context string, words []string) bool {
	last := len(words) - 1
	want := seal(k, context, words[:last])
	return subtle.ConstantTimeCompare([]byte(want), []byte(words[last])) == 1
}
