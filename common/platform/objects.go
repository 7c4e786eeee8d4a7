package platform

import (
	"context"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"net/http"
	"net/url"

	"hemlockmux.example/common/clock"
)

// Objects is a client of one bucket of the platform's object store.
type Objects struct {
	conn   *connection
	bucket string
}

// ListResult is the part of the response to ListObjectsV2 that is used.
type ListResult struct {
	// XMLName is the name of the root element.
	XMLName xml.Name `xml:"ListBucketResult"`
	// Contents lists the objects.
	Contents []struct {
		Key string `xml:"Key"`
	} `xml:"Contents"`
}

// NewObjects returns a client of one bucket and the function that closes its idle
// connections.
func NewObjects(base, bucket, token string, timeout clock.Millis) (*Objects, func()) {
	conn, closeConn := newConnection(base, token, timeout)
	return &Objects{conn: conn, bucket: bucket}, closeConn
}

// Put stores one object. It is idempotent.
func (o *Objects) Put(ctx context.Context, key string, body []byte) error {
	status, answer, err := o.conn.read(ctx, "put object", http.MethodPut, "/"+o.bucket+"/"+key, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &UnavailableError{Op: "put object", Err: fmt.Errorf("status %d: %s", status, answer)}
	}
	return nil
}

// Get reads one object; ok is false if it does not exist.
func (o *Objects) Get(ctx context.Context, key string) (body []byte, ok bool, err error) {
	status, answer, err := o.conn.read(ctx, "get object", http.MethodGet, "/"+o.bucket+"/"+key, nil)
	if err != nil {
		return nil, false, err
	}
	if status == http.StatusNotFound {
		return nil, false, nil
	}
	if status != http.StatusOK {
		return nil, false, &UnavailableError{Op: "get object", Err: fmt.Errorf("status %d", status)}
	}
	return answer, true, nil
}

// List returns the keys that start with prefix and sort after startAfter, in
// ascending order. It reads one page, which S3 limits to 1,000 keys.
func (o *Objects) List(ctx context.Context, prefix, startAfter string) ([]string, error) {
	query := url.Values{"list-type": {"2"}, "prefix": {prefix}, "start-after": {startAfter}}
	status, answer, err := o.conn.read(ctx, "list objects", http.MethodGet, "/"+o.bucket+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, &UnavailableError{Op: "list objects", Err: fmt.Errorf("status %d", status)}
	}
	var list ListResult
	if err := xml.Unmarshal(answer, &list); err != nil {
		return nil, &UnavailableError{Op: "list objects", Err: err}
	}
	keys := make([]string, 0, len(list.Contents))
	for _, c := range list.Contents {
		keys = append(keys, c.Key)
	}
	return keys, nil
}

// TargetGroup is one entry of the VM list, in the Prometheus HTTP service
// discovery format.
type TargetGroup struct {
	// Targets holds addresses as host:port.
	Targets []string `json:"targets"`
	// Labels holds the labels of all targets of the group.
	Labels map[string]string `json:"labels"`
}

// Labels of the VM list and their values.
const (
	LabelName       = "name"
	LabelDataCentre = "dataCentre"
	LabelState      = "state" // "live" or "leaving"
	StateLeaving    = "leaving"
	StateLive       = "live"
	LabelRole       = "role" // "daemon" or "upstream"
	RoleDaemon      = "daemon"
	RoleUpstream    = "upstream"
)

// VMs is a client of the platform's VM list.
type VMs struct {
	conn *connection
}

// NewVMs returns a client and the function that closes its idle connections.
func NewVMs(base, token string, timeout clock.Millis) (*VMs, func()) {
	conn, closeConn := newConnection(base, token, timeout)
	return &VMs{conn: conn}, closeConn
}

// List reads the complete list. The list may be stale: it is a hint, and does not
// prove that a VM is dead.
func (v *VMs) List(ctx context.Context) ([]TargetGroup, error) {
	status, answer, err := v.conn.read(ctx, "list VMs", http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, &UnavailableError{Op: "list VMs", Err: fmt.Errorf("status %d", status)}
	}
	var groups []TargetGroup
	if err := json.Unmarshal(answer, &groups); err != nil {
		return nil, &UnavailableError{Op: "list VMs", Err: err}
	}
	return groups, nil
}
