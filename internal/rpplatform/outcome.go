package rpplatform

import (
	"errors"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// writeOutcomes maps the error codes of the DynamoDB protocol that say what
// became of a write. The protocol says of a 500 that the write may have
// succeeded, so InternalServerError is not here. ServiceUnavailable says that
// the request was not taken up. TransactionInProgressException says that an
// earlier copy of the request is still under way.
var writeOutcomes = map[string]rpcore.WriteOutcome{
	"ConditionalCheckFailedException":        rpcore.WriteConflict,
	"TransactionConflictException":           rpcore.WriteConflict,
	"ReplicatedWriteConflictException":       rpcore.WriteConflict,
	"TransactionInProgressException":         rpcore.WriteUnknown,
	"RequestLimitExceeded":                   rpcore.WriteUnavailable,
	"ServiceUnavailable":                     rpcore.WriteUnavailable,
	"ServiceUnavailableException":            rpcore.WriteUnavailable,
	"ThrottlingException":                    rpcore.WriteUnavailable,
	"ProvisionedThroughputExceededException": rpcore.WriteUnavailable,
}

// failedWriteOutcome returns what became of a write that got a connection and
// failed. An error that proves nothing leaves the outcome unknown.
func failedWriteOutcome(err error) rpcore.WriteOutcome {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return canceledWriteOutcome(canceled.CancellationReasons)
	}
	var answer smithy.APIError
	if errors.As(err, &answer) {
		if outcome, ok := writeOutcomes[answer.ErrorCode()]; ok {
			return outcome
		}
	}
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) && rejectedByStatus(response.HTTPStatusCode()) {
		return rpcore.WriteUnavailable
	}
	return rpcore.WriteUnknown
}

// rejectedByStatus reports whether an HTTP status proves that the request was
// not carried out. 408 is given by proxies that lost patience with the
// service behind them, as are the 5xx codes.
func rejectedByStatus(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

// canceledWriteOutcome returns the outcome of a canceled transaction, of which
// nothing was written. A conflict with another transaction is answered like a
// failed condition: the rows are in change and have to be read again. Without
// reasons the rows have to be read too.
func canceledWriteOutcome(reasons []types.CancellationReason) rpcore.WriteOutcome {
	refused := false
	for _, reason := range reasons {
		switch code := reason.Code; {
		case code == nil || *code == "None":
		case *code == "ConditionalCheckFailed" || *code == "TransactionConflict":
			return rpcore.WriteConflict
		default:
			refused = true
		}
	}
	if refused {
		return rpcore.WriteUnavailable
	}
	return rpcore.WriteConflict
}
