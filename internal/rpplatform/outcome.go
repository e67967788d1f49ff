package rpplatform

import (
	"errors"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// writeOutcomes maps error codes of the DynamoDB protocol to the outcome of the
// write. InternalServerError (500) is not in the map, because the protocol allows
// that the write succeeded. ServiceUnavailable means that the service did not
// process the request. TransactionInProgressException means that an earlier copy
// of the request is still in progress.
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

// failedWriteOutcome returns the outcome of a failed write that got a connection.
// The outcome is unknown unless the error determines it.
func failedWriteOutcome(err error) rpcore.WriteOutcome {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return canceledWriteOutcome(canceled.CancellationReasons)
	}
	var apiErr smithy.APIError
	if errors.As(err, &apiErr) {
		if outcome, ok := writeOutcomes[apiErr.ErrorCode()]; ok {
			return outcome
		}
	}
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) && rejectedByStatus(response.HTTPStatusCode()) {
		return rpcore.WriteUnavailable
	}
	return rpcore.WriteUnknown
}

// rejectedByStatus reports whether an HTTP status proves that the request had no
// effect. Proxies send 408 and 5xx codes if the service behind them did not respond
// in time, so these prove nothing.
func rejectedByStatus(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

// canceledWriteOutcome returns the outcome of a canceled transaction, which wrote
// nothing. A conflict with another transaction counts as a failed condition,
// because the rows are changing and have to be read again. Without reasons, the
// rows have to be read again too.
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
