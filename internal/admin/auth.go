package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// TokenFile is the content of a tokens file.
type TokenFile struct {
	Tokens []TokenEntry `json:"tokens"`
}

// TokenEntry is one operator's token, either in plain text or as its SHA-256 digest in
// hex.
type TokenEntry struct {
	Name   string `json:"name"`
	Token  string `json:"token,omitempty"`
	SHA256 string `json:"sha256,omitempty"`
	// Team is the team whose subtree of the settings the token may change.
	Team model.TeamName `json:"team,omitempty"`
	// Fleet allows the token to change all settings.
	Fleet bool `json:"fleet,omitempty"`
}

// Principal is the authenticated operator that makes a call. Team and Fleet are those of
// the operator's TokenEntry.
type Principal struct {
	Name  string
	Team  model.TeamName
	Fleet bool
	// ReadOnly principals may not change anything.
	ReadOnly bool
}

// CanChange reports whether the principal may change the settings of a scope.
func (p Principal) CanChange(scope settings.Scope) bool {
	if p.ReadOnly {
		return false
	}
	return p.Fleet || (p.Team != "" && scope == settings.TeamScope(p.Team))
}

type tokenDigest [sha256.Size]byte

// credential is the digest of a token with the operator that it authenticates.
type credential struct {
	digest    tokenDigest
	principal Principal
}

// Tokens holds the digests of the operators' tokens with their principals.
type Tokens struct {
	credentials []credential
}

const minTokenLength = 16 // minimum length in bytes of a token in plain text

// LoadTokens reads and validates a tokens file. Errors never contain a token.
func LoadTokens(file string) (*Tokens, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read tokens")
	}
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	var content TokenFile
	if err := doc.Decode(&content); err != nil {
		return nil, err
	}
	return newTokens(doc, content)
}

func newTokens(doc *jsonc.Document, content TokenFile) (*Tokens, error) {
	var problems jsonc.Problems
	tokens := &Tokens{}
	for i, entry := range content.Tokens {
		digest, problem := entry.check()
		if problem != "" {
			problems = append(problems, doc.Problem([]string{"tokens", strconv.Itoa(i)}, "%s", problem))
			continue
		}
		tokens.credentials = append(tokens.credentials, credential{
			digest:    digest,
			principal: Principal{Name: entry.Name, Team: entry.Team, Fleet: entry.Fleet},
		})
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return tokens, nil
}

// check returns the token's digest, or what is wrong with the entry.
func (e *TokenEntry) check() (tokenDigest, string) {
	switch {
	case e.Name == "":
		return tokenDigest{}, "found no name, want the operator's name"
	case e.Fleet == (e.Team != ""):
		return tokenDigest{}, "want either a team or fleet: true"
	case (e.Token == "") == (e.SHA256 == ""):
		return tokenDigest{}, "want either token or sha256"
	case e.SHA256 == "" && len(e.Token) < minTokenLength:
		return tokenDigest{}, "found a short token, want " + strconv.Itoa(minTokenLength) + " characters or more"
	case e.SHA256 == "":
		return sha256.Sum256([]byte(e.Token)), ""
	}
	raw, err := hex.DecodeString(e.SHA256)
	if err != nil || len(raw) != sha256.Size {
		return tokenDigest{}, "found a sha256 that is not 64 hexadecimal digits"
	}
	return tokenDigest(raw), ""
}

// find returns the principal of a token. It compares the token with all others in
// constant time, so that timing does not reveal which one matches.
func (t *Tokens) find(token string) (Principal, bool) {
	digest := sha256.Sum256([]byte(token))
	found := Principal{}
	ok := 0
	for i := range t.credentials {
		c := &t.credentials[i]
		equal := subtle.ConstantTimeCompare(digest[:], c.digest[:])
		if equal == 1 {
			found = c.principal
		}
		ok |= equal
	}
	return found, ok == 1
}

// localPrincipal returns the principal of callers on loopback when no tokens are
// configured. It may make changes only in a trial installation (embedded stand-ins).
func (a *Admin) localPrincipal() Principal {
	return Principal{Name: "local operator", Fleet: true, ReadOnly: a.config.Embedded == nil}
}

// identify authenticates the call. Without configured tokens, it accepts callers on
// loopback only.
func (a *Admin) identify(ctx *fasthttp.RequestCtx) (Principal, bool) {
	if a.tokens == nil {
		return a.localPrincipal(), ctx.RemoteIP().IsLoopback()
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return Principal{}, false
	}
	return a.tokens.find(token)
}

type authorizedHandler func(ctx *fasthttp.RequestCtx, principal Principal)

// authorized returns a handler that responds 401 to callers that are not
// authenticated and passes the others to handler.
func (a *Admin) authorized(handler authorizedHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		principal, ok := a.identify(ctx)
		if !ok {
			a.denied.Add(1)
			ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
			writeError(ctx, fasthttp.StatusUnauthorized, Failure{Code: CodeUnauthorized, Message: "a known token is required (Authorization: Bearer TOKEN)"})
			return
		}
		handler(ctx, principal)
	}
}

// writeForbidden responds 403 to a change of a scope that the principal may not change.
func (a *Admin) writeForbidden(ctx *fasthttp.RequestCtx, principal Principal, scope settings.Scope) {
	a.denied.Add(1)
	message := principal.Name + " may not change " + scope.String()
	if principal.ReadOnly {
		message = "changes need a token: set admin_auth.tokens_file"
	} else if principal.Team != "" {
		message += ", only " + string(settings.TeamScope(principal.Team))
	}
	writeError(ctx, fasthttp.StatusForbidden, Failure{Code: CodeForbidden, Message: message})
}
