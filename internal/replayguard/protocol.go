package replayguard

import (
	"bufio"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"coralrelay/internal/resumetoken"
)

// What guards send to each other: lines of fields, each authenticated by a MAC under the peer
// subkey of a key that both have. A response's MAC covers the challenge that the requesting
// side drew for the connection and the request's sequence number, so that no old response
// fits. Two versions of the program may be at the two ends: the words never change.
//
//	HELLO CHALLENGE SEQUENCE KEY MAC
//	LEDGER SEQUENCE NAME GUARD ready|full stays|goes MAC
//	SPEND CHALLENGE SEQUENCE KEY REDEMPTION TOKEN MAC
//	VERDICT SEQUENCE VERDICT MAC
//	NO                                  and a close, for a line that is not accepted
const (
	helloMessage   = "HELLO"   // requests a status
	statusMessage  = "LEDGER"  // the response to helloMessage
	spendMessage   = "SPEND"   // requests a verdict
	verdictMessage = "VERDICT" // the response to spendMessage
	refusedMessage = "NO"

	readyValue    = "ready"
	notReadyValue = "full"
	durableValue  = "stays"
	volatileValue = "goes"

	// requestContext is the MAC's context of a request.
	requestContext = "ask"

	lineEnd = "\r\n"
	// maxLineBytes is the length of the longest line, which is a SPEND.
	maxLineBytes = 1024

	// The numbers of fields.
	helloFields       = 5
	spendFields       = 7
	statusFields      = 7
	verdictFields     = 4
	minResponseFields = 4

	challengeSize = 16 // bytes
)

// protocolError is a line that is not accepted: malformed, or without a matching MAC.
type protocolError struct {
	problem string
	line    string // what was received, or the part of it that is at fault
}

func (e *protocolError) Error() string { return fmt.Sprintf("%s: %.60q", e.problem, e.line) }

// malformed is the error for a line that is no message of the protocol.
func malformed(fields []string) error {
	return &protocolError{problem: "malformed line", line: strings.Join(fields, " ")}
}

// readFields reads a line of at least one field.
func readFields(reader *bufio.Reader) ([]string, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(string(line))
	if len(fields) == 0 {
		return nil, &protocolError{problem: "empty line", line: string(line)}
	}
	return fields, nil
}

// request is a HELLO or a SPEND whose MAC matches.
type request struct {
	command   string
	challenge string
	sequence  string
	key       *resumetoken.Key
	arguments []string // a SPEND's redemption id and token
}

// parseRequest checks a request's fields and MAC.
func parseRequest(ring *resumetoken.KeyRing, fields []string) (request, error) {
	isHello := fields[0] == helloMessage && len(fields) == helloFields
	isSpend := fields[0] == spendMessage && len(fields) == spendFields
	if !isHello && !isSpend {
		return request{}, malformed(fields)
	}
	id, err := strconv.ParseUint(fields[3], 16, 32)
	key, isKnown := ring.Get(resumetoken.KeyID(id))
	if err != nil || !isKnown || !verifyLine(key, requestContext, fields) {
		return request{}, &protocolError{problem: "request's MAC does not match, key", line: fields[3]}
	}
	return request{
		command:   fields[0],
		challenge: fields[1],
		sequence:  fields[2],
		key:       key,
		arguments: fields[4 : len(fields)-1],
	}, nil
}

// redemptionID reads a SPEND's redemption id.
func (r request) redemptionID() (id resumetoken.RedemptionID, err error) {
	if n, err := hex.Decode(id[:], []byte(r.arguments[0])); err != nil || n != len(id) {
		return id, &protocolError{problem: "malformed redemption id", line: r.arguments[0]}
	}
	return id, nil
}

// token is a SPEND's token as text.
func (r request) token() string { return r.arguments[1] }

// statusLine is the response to a HELLO.
func (r request) statusLine(status resumetoken.Candidate) string {
	readiness, durability := notReadyValue, volatileValue
	if status.IsReady {
		readiness = readyValue
	}
	if status.IsDurable {
		durability = durableValue
	}
	return authenticatedLine(r.key, responseContext(r.challenge),
		statusMessage, r.sequence, status.Name, hex.EncodeToString(status.GuardID[:]), readiness, durability)
}

// verdictLine is the response to a SPEND.
func (r request) verdictLine(verdict resumetoken.Verdict) string {
	return authenticatedLine(r.key, responseContext(r.challenge), verdictMessage, r.sequence, verdict.String())
}

// parseStatus reads the response to a HELLO, which must have the peer's name.
func parseStatus(fields []string, peer string) (resumetoken.Candidate, error) {
	status := resumetoken.Candidate{
		Name:      peer,
		IsReady:   fields[4] == readyValue,
		IsDurable: fields[5] == durableValue,
	}
	if fields[2] != peer {
		return status, &protocolError{problem: "peer has another name", line: fields[2]}
	}
	if n, err := hex.Decode(status.GuardID[:], []byte(fields[3])); err != nil || n != len(status.GuardID) {
		return status, &protocolError{problem: "malformed guard id", line: fields[3]}
	}
	return status, nil
}

// parseVerdict reads the response to a SPEND.
func parseVerdict(fields []string) (resumetoken.Verdict, error) {
	verdict, ok := resumetoken.ParseVerdict(fields[2])
	if !ok {
		return 0, &protocolError{problem: "unknown verdict", line: fields[2]}
	}
	return verdict, nil
}

// responseContext is the MAC's context of the responses on one connection.
func responseContext(challenge string) string { return "answer " + challenge }

// authenticatedLine joins fields and their MAC to a line.
func authenticatedLine(key *resumetoken.Key, context string, fields ...string) string {
	return strings.Join(append(fields, lineMAC(key, context, fields)), " ") + lineEnd
}

func lineMAC(key *resumetoken.Key, context string, fields []string) string {
	return hex.EncodeToString(key.PeerMAC(append([]string{context}, fields...)...))
}

// verifyLine reports whether the last field is the MAC of those before.
func verifyLine(key *resumetoken.Key, context string, fields []string) bool {
	last := len(fields) - 1
	want := lineMAC(key, context, fields[:last])
	return subtle.ConstantTimeCompare([]byte(want), []byte(fields[last])) == 1
}

// newChallenge draws the challenge of one connection.
func newChallenge() string {
	var challenge [challengeSize]byte
	_, _ = rand.Read(challenge[:])
	return hex.EncodeToString(challenge[:])
}
