package commander

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// platformTimeout limits a single call to the platform or to an instance.
const platformTimeout = 5 * time.Second

// addPlatformFlag adds the flag for the platform's address.
func addPlatformFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "platform", os.Getenv("SARDINETILLER_PLATFORM"),
		"host:port of the platform; from SARDINETILLER_PLATFORM if not given")
}

// newPublisher returns a publisher that uses the platform at address. A dry-run
// publisher reads and validates but writes nothing.
func newPublisher(address string, dry bool) (*publisher.Publisher, error) {
	if address == "" {
		return nil, usage(fmt.Errorf("no platform; give --platform host:port or set SARDINETILLER_PLATFORM"))
	}
	p := &publisher.Publisher{
		Store: &storer.Client{Address: address, Timeout: platformTimeout},
		Table: &tabler.Client{Address: address, Timeout: platformTimeout},
		Token: newToken,
	}
	if dry {
		p.Store = &storer.DryRun{Store: p.Store}
		p.Table = &tabler.DryRun{Table: p.Table}
	}
	return p, nil
}

func newToken() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// operatorFlags select the instance that a command queries and the key it sends.
type operatorFlags struct {
	address string
	token   string
}

func (o *operatorFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.address, "operator", os.Getenv("SARDINETILLER_OPERATOR"),
		"host:port of the operator API of an instance; from SARDINETILLER_OPERATOR if not given")
	cmd.Flags().StringVar(&o.token, "token", os.Getenv("SARDINETILLER_TOKEN"),
		"file with the operators' key; from SARDINETILLER_TOKEN if not given")
}

// call sends a request to the instance and decodes its response.
func (o *operatorFlags) call(ctx context.Context, method, path string, into any) error {
	if o.address == "" {
		return usage(fmt.Errorf("no instance; give --operator host:port or set SARDINETILLER_OPERATOR"))
	}
	key, err := readKey(o.token)
	if err != nil {
		return usage(err)
	}
	request := &fasthttp.Request{}
	request.Header.SetMethod(method)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	request.SetRequestURI("http://" + o.address + path)
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	var r requester.Requester
	status, body, observation := r.ReadAll(ctx, o.address, request)
	if observation != nil {
		return unreachable(judge.Judge(observation))
	}
	if status != fasthttp.StatusOK {
		return refused(fmt.Errorf("instance at %s: status %d: %s", o.address, status, body))
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}

// readKey reads a key from a file. An empty file name means no key.
func readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("%w; name a file with the key in it", err)
	}
	return strings.TrimSpace(string(data)), nil
}
