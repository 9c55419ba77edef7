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

// The messages between guards are lines of fields. Each line except NO is authenticated by a MAC
// under the peer subkey of a key that both sides have. The MAC of a response covers the challenge that the
// requesting side generated for the connection and the sequence number of the request, so that
// an old response can't be replayed. The two sides may run different versions of the program,
// so the keywords must never change.
//
//	HELLO CHALLENGE SEQUENCE KEY MAC
//	LEDGER SEQUENCE NAME GUARD ready|full stays|goes MAC
//	SPEND CHALLENGE SEQUENCE KEY REDEMPTION TOKEN MAC
//	VERDICT SEQUENCE VERDICT MAC
//	NO                                  rejects a line; the connection is then closed
const (
	helloMessage    = "HELLO"   // requests a status
	statusMessage   = "LEDGER"  // the response to helloMessage
	spendMessage    = "SPEND"   // requests a verdict
	verdictMessage  = "VERDICT" // the response to spendMessage
	rejectedMessage = "NO"      // rejects a request

	readyValue    = "ready"
	notReadyValue = "full"
	durableValue  = "stays"
	volatileValue = "goes"

	// requestContext is the MAC context of requests.
	requestContext = "ask"

	lineEnd = "\r\n"
	// maxLineBytes is the maximum length of a line. The longest lines are those of SPEND.
	maxLineBytes = 1024

	// The number of fields in each message, including the keyword and the MAC.
	helloFields       = 5
	spendFields       = 7
	statusFields      = 7
	verdictFields     = 4
	minResponseFields = 4

	challengeSize = 16 // bytes
)

// protocolError is the error for a rejected line, which is malformed or has a wrong MAC.
type protocolError struct {
	problem string
	line    string // the received line or the invalid part of it
}

func (e *protocolError) Error() string { return fmt.Sprintf("%s: %.60q", e.problem, e.line) }

// malformed returns the error for a line that is not a message of the protocol.
func malformed(fields []string) error {
	return &protocolError{problem: "malformed line", line: strings.Join(fields, " ")}
}

// readFields reads a line and returns its fields. It is an error if there are none.
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

// request is a HELLO or a SPEND with a valid MAC.
type request struct {
	command   string
	challenge string
	sequence  string
	key       *resumetoken.Key
	arguments []string // of a SPEND: redemption id and token
}

// parseRequest parses a request and verifies its MAC.
func parseRequest(keyRing *resumetoken.KeyRing, fields []string) (request, error) {
	isHello := fields[0] == helloMessage && len(fields) == helloFields
	isSpend := fields[0] == spendMessage && len(fields) == spendFields
	if !isHello && !isSpend {
		return request{}, malformed(fields)
	}
	id, err := strconv.ParseUint(fields[3], 16, 32)
	key, isKnown := keyRing.Get(resumetoken.KeyID(id))
	if err != nil || !isKnown || !hasValidMAC(key, requestContext, fields) {
		return request{}, &protocolError{
			problem: "request has an unknown key or a wrong MAC, key", line: fields[3],
		}
	}
	return request{
		command:   fields[0],
		challenge: fields[1],
		sequence:  fields[2],
		key:       key,
		arguments: fields[4 : len(fields)-1],
	}, nil
}

// redemptionID parses the redemption id of a SPEND.
func (r request) redemptionID() (id resumetoken.RedemptionID, err error) {
	if n, err := hex.Decode(id[:], []byte(r.arguments[0])); err != nil || n != len(id) {
		return id, &protocolError{problem: "malformed redemption id", line: r.arguments[0]}
	}
	return id, nil
}

// token returns the encoded token of a SPEND.
func (r request) token() string { return r.arguments[1] }

// statusLine returns the response to a HELLO.
func (r request) statusLine(status resumetoken.Candidate) string {
	readiness, durability := notReadyValue, volatileValue
	if status.IsReady {
		readiness = readyValue
	}
	if status.IsDurable {
		durability = durableValue
	}
	return authenticatedLine(r.key, responseContext(r.challenge),
		statusMessage, r.sequence, status.Name, hex.EncodeToString(status.GuardID[:]),
		readiness, durability)
}

// verdictLine returns the response to a SPEND.
func (r request) verdictLine(verdict resumetoken.Verdict) string {
	return authenticatedLine(r.key, responseContext(r.challenge),
		verdictMessage, r.sequence, verdict.String())
}

// parseStatus parses the response to a HELLO. It is an error if the response does not contain the
// name of the peer.
func parseStatus(fields []string, peer string) (resumetoken.Candidate, error) {
	status := resumetoken.Candidate{
		Name:      peer,
		IsReady:   fields[4] == readyValue,
		IsDurable: fields[5] == durableValue,
	}
	if fields[2] != peer {
		return status, &protocolError{problem: "unexpected peer name", line: fields[2]}
	}
	if n, err := hex.Decode(status.GuardID[:], []byte(fields[3])); err != nil || n != len(status.GuardID) {
		return status, &protocolError{problem: "malformed guard id", line: fields[3]}
	}
	return status, nil
}

// parseVerdict parses the response to a SPEND.
func parseVerdict(fields []string) (resumetoken.Verdict, error) {
	verdict, ok := resumetoken.ParseVerdict(fields[2])
	if !ok {
		return 0, &protocolError{problem: "unknown verdict", line: fields[2]}
	}
	return verdict, nil
}

// responseContext returns the MAC context of the responses on the connection with this challenge.
func responseContext(challenge string) string { return "answer " + challenge }

// authenticatedLine returns a line of the fields and their MAC.
func authenticatedLine(key *resumetoken.Key, context string, fields ...string) string {
	return strings.Join(append(fields, lineMAC(key, context, fields)), " ") + lineEnd
}

func lineMAC(key *resumetoken.Key, context string, fields []string) string {
	return hex.EncodeToString(key.PeerMAC(append([]string{context}, fields...)...))
}

// hasValidMAC reports whether the last field is the MAC of the preceding ones.
func hasValidMAC(key *resumetoken.Key, context string, fields []string) bool {
	last := len(fields) - 1
	want := lineMAC(key, context, fields[:last])
	return subtle.ConstantTimeCompare([]byte(want), []byte(fields[last])) == 1
}

// newChallenge returns a random challenge for a connection.
func newChallenge() string {
	var challenge [challengeSize]byte
	_, _ = rand.Read(challenge[:])
	return hex.EncodeToString(challenge[:])
}
