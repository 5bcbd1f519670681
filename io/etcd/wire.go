package etcd

import (
	"balsamproxy"
)

// The types below are messages of the etcd v3 JSON gateway, which encodes bytes in
// base64 and 64-bit integers as strings.

type wireHeader struct {
	Revision balsamproxy.Revision `json:"revision,string"`
}

type wireEntry struct {
	Key         []byte               `json:"key"`
	Value       []byte               `json:"value"`
	ModRevision balsamproxy.Revision `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

type rangeResponse struct {
	Header  wireHeader  `json:"header"`
	Entries []wireEntry `json:"kvs"`
}

type compare struct {
	Result      string               `json:"result"`
	Target      string               `json:"target"`
	Key         []byte               `json:"key"`
	ModRevision balsamproxy.Revision `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte              `json:"key"`
	Value []byte              `json:"value"`
	Lease balsamproxy.LeaseID `json:"lease,string,omitempty"`
}

type operation struct {
	Put   *putRequest   `json:"request_put,omitempty"`
	Range *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operationResponse struct {
	Range *rangeResponse `json:"response_range"`
}

type txnResponse struct {
	Header    wireHeader          `json:"header"`
	Succeeded bool                `json:"succeeded"`
	Responses []operationResponse `json:"responses"`
}

type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseGrantResponse struct {
	ID balsamproxy.LeaseID `json:"ID,string"`
}

type leaseRequest struct {
	ID balsamproxy.LeaseID `json:"ID,string"`
}

type keepAliveResponse struct {
	Result struct {
		TTL int64 `json:"TTL,string"`
	} `json:"result"`
}

type revokeResponse struct{}

type watchCreate struct {
	Key           []byte               `json:"key"`
	RangeEnd      []byte               `json:"range_end"`
	StartRevision balsamproxy.Revision `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type  string    `json:"type"`
	Entry wireEntry `json:"kv"`
}

type watchResult struct {
	Canceled        bool                 `json:"canceled"`
	CompactRevision balsamproxy.Revision `json:"compact_revision,string"`
	Events          []watchEvent         `json:"events"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

type errorResponse struct {
	Message string `json:"message"`
	Error   string `json:"error"`
}
