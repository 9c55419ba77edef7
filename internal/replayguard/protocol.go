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
	helloMessage   = "HELLO"
	statusMessage  = "LEDGER"
	spendMessage   = "SPEND"
	verdictMessage = "VERDICT"
	refusedMessage = "NO"
	// longest is the longest line, in bytes; the longest is a SPEND.
	maxLineBytes = 1024
)

var errMalformedLine = errors.New("malformed line")

// readWords reads a line of n words; n 0 takes any number.
func readFields(reader *bufio.Reader, count int) ([]string, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(string(line))
	if len(fields) == 0 || count > 0 && len(fields) != count {
		return nil, fmt.Errorf("%w: %.60q", errMalformedLine, line)
	}
	return fields, nil
}

// sealed joins words with their seal.
func authenticatedLine(key *resumetoken.Key, context string, fields ...string) string {
	return strings.Join(append(fields, lineMAC(key, context, fields)), " ") + "\r\n"
}

func lineMAC(key *resumetoken.Key, context string, fields []string) string {
	return hex.EncodeToString(key.PeerMAC(append([]string{context}, fields...)...))
}

// unseal tells whether the last word is the seal of those before.
func verifyLine(key *resumetoken.Key, context string, fields []string) bool {
	last := len(fields) - 1
	want := lineMAC(key, context, fields[:last])
	return subtle.ConstantTimeCompare([]byte(want), []byte(fields[last])) == 1
}
