package admin

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/internal/settingstore"
)

// Code identifies why a call failed. The command line maps it to its exit code.
type Code string

// Codes of failed calls.
const (
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeBadRequest     Code = "bad_request"
	CodeInvalid        Code = "invalid"         // the settings have problems
	CodeConflict       Code = "conflict"        // another change was accepted first
	CodeNotAccepted    Code = "not_accepted"    // the change did not take effect
	CodeOutcomeUnknown Code = "outcome_unknown" // the store did not confirm in time whether the change took effect
	CodeNotFound       Code = "not_found"
	CodeUnavailable    Code = "unavailable" // the settings store returned another error
)

// Failure is the body of a response with a status other than 200.
type Failure struct {
	Code     Code                        `json:"code"`
	Message  string                      `json:"message"`
	Problems jsonc.Problems              `json:"problems,omitempty"`
	Conflict *settingstore.ConflictError `json:"conflict,omitempty"`
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Message }

func writeError(ctx *fasthttp.RequestCtx, status int, failure Failure) {
	ctx.SetStatusCode(status)
	writeJSON(ctx, failure)
}

// writeFailure responds to an error of the settings store with the corresponding
// status and body.
func writeFailure(ctx *fasthttp.RequestCtx, err error) {
	var problems jsonc.Problems
	var conflict *settingstore.ConflictError
	switch {
	case errors.As(err, &problems):
		writeError(ctx, fasthttp.StatusUnprocessableEntity, Failure{Code: CodeInvalid, Message: "the settings have problems", Problems: problems})
	case errors.As(err, &conflict):
		writeError(ctx, fasthttp.StatusConflict, Failure{Code: CodeConflict, Message: err.Error(), Conflict: conflict})
	case errors.Is(err, settingstore.ErrNotAccepted):
		writeError(ctx, fasthttp.StatusServiceUnavailable, Failure{Code: CodeNotAccepted, Message: err.Error()})
	case errors.Is(err, settingstore.ErrOutcomeUnknown):
		writeError(ctx, fasthttp.StatusGatewayTimeout, Failure{Code: CodeOutcomeUnknown, Message: err.Error()})
	case errors.Is(err, settingstore.ErrNoVersion):
		writeError(ctx, fasthttp.StatusNotFound, Failure{Code: CodeNotFound, Message: err.Error()})
	default:
		writeError(ctx, fasthttp.StatusServiceUnavailable, Failure{Code: CodeUnavailable, Message: err.Error()})
	}
}
