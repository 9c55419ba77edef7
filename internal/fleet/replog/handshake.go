package replog

import (
	"bufio"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"slices"
	"time"
)

// The dialing side sends the magic bytes and a nonce; the accepting side answers with a nonce.
// Each direction of each connection has its own key, derived from the fleet's key and both
// nonces, so that recorded frames cannot be replayed.
const (
	handshakeMagic   = "CRF1"
	nonceSize        = 16 // bytes
	frameKeySize     = 32 // bytes, for AES-256
	handshakeTimeout = 2 * time.Second

	// HKDF info strings of the two directions. They are part of the protocol.
	infoFromDialer = "coralrelay-record-1 caller"
	infoToDialer   = "coralrelay-record-1 called"
)

// errBadMagic reports a connection that does not begin with handshakeMagic.
var errBadMagic = errors.New("handshake: wrong magic bytes")

// handshake exchanges nonces and derives the keys of a connection; the caller sets a deadline.
// A peer has not proven that it holds the fleet's key until its first frame is opened.
func handshake(conn net.Conn, key []byte, isDialer bool) (*sealedConn, error) {
	ownNonce := make([]byte, nonceSize)
	_, _ = rand.Read(ownNonce)
	reader := bufio.NewReader(conn)
	if isDialer {
		peerNonce, err := startHandshake(conn, reader, ownNonce)
		if err != nil {
			return nil, err
		}
		return newSealedConn(conn, reader, key, slices.Concat(ownNonce, peerNonce), isDialer)
	}
	peerNonce, err := answerHandshake(conn, reader, ownNonce)
	if err != nil {
		return nil, err
	}
	return newSealedConn(conn, reader, key, slices.Concat(peerNonce, ownNonce), isDialer)
}

// startHandshake performs the dialing side of the nonce exchange.
func startHandshake(writer io.Writer, reader io.Reader, ownNonce []byte) (peerNonce []byte, err error) {
	if _, err := writer.Write(append([]byte(handshakeMagic), ownNonce...)); err != nil {
		return nil, err
	}
	peerNonce = make([]byte, nonceSize)
	_, err = io.ReadFull(reader, peerNonce)
	return peerNonce, err
}

// answerHandshake performs the accepting side of the nonce exchange.
func answerHandshake(writer io.Writer, reader io.Reader, ownNonce []byte) (peerNonce []byte, err error) {
	magic := make([]byte, len(handshakeMagic))
	if _, err := io.ReadFull(reader, magic); err != nil {
		return nil, err
	}
	if string(magic) != handshakeMagic {
		return nil, errBadMagic
	}
	peerNonce = make([]byte, nonceSize)
	if _, err := io.ReadFull(reader, peerNonce); err != nil {
		return nil, err
	}
	_, err = writer.Write(ownNonce)
	return peerNonce, err
}

// newSealedConn derives the keys of both directions. salt is the dialing side's nonce followed
// by the accepting side's nonce.
func newSealedConn(conn net.Conn, reader *bufio.Reader, key, salt []byte, isDialer bool) (*sealedConn, error) {
	fromDialer, err := newAEAD(key, salt, infoFromDialer)
	if err != nil {
		return nil, err
	}
	toDialer, err := newAEAD(key, salt, infoToDialer)
	if err != nil {
		return nil, err
	}
	if isDialer {
		return &sealedConn{Conn: conn, reader: reader, opener: toDialer, sealer: fromDialer}, nil
	}
	return &sealedConn{Conn: conn, reader: reader, opener: fromDialer, sealer: toDialer}, nil
}

// newAEAD derives a key with HKDF-SHA256 and returns AES-256-GCM with that key.
func newAEAD(key, salt []byte, info string) (cipher.AEAD, error) {
	derived, err := hkdf.Key(sha256.New, key, salt, info, frameKeySize)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}
