package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
)

const operatorSort = "operator"

// Operator returns the operator with the bearer token. Only the SHA-256 of the token is sent to the
// platform and stored there. Errors: ErrUnknownCredential, UnavailableError.
func (c *Client) Operator(ctx context.Context, token string) (Operator, error) {
	if token == "" {
		return Operator{}, ErrUnknownCredential
	}
	digest := sha256.Sum256([]byte(token))
	r, err := c.get(ctx, "operator#"+hex.EncodeToString(digest[:]), operatorSort)
	if err != nil {
		return Operator{}, err
	}
	if r == nil || r.text("operator") == "" {
		return Operator{}, ErrUnknownCredential
	}
	return Operator{Name: r.text("operator"), Services: r.set("services")}, nil
}
