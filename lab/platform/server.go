package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

// Paths of the platform's server.
const (
	PathMachines = "/machines"                  // GET MachineList, lagging
	PathMachine  = "/lab/machines/{name}"       // GET the true state; POST StateRequest
	PathWeights  = "/weights/{model}/{version}" // GET synthetic weights
)

// Defaults of a Config; assumptions, small enough for one development machine.
const (
	DefaultLag                  = 3 * time.Second
	DefaultWeightBytes          = 8 << 20
	DefaultWeightBytesPerSecond = 4 << 20
	DefaultWeightReaders        = 64
	DefaultMachineLimit         = 4096
)

const stopTimeout = 5 * time.Second

// Config is what a platform is made of; zero fields get the defaults.
type Config struct {
	Listen string // IP and port
	// Lag is how old the list of machines is; negative means not at all.
	Lag                  time.Duration
	WeightBytes          int64
	WeightBytesPerSecond float64 // over all readers
	WeightReaders        int
	MachineLimit         int
	// Machines are live from long before the start.
	Machines []Machine
}

func (c Config) withDefaults() Config {
	if c.Lag == 0 {
		c.Lag = DefaultLag
	}
	if c.WeightBytes == 0 {
		c.WeightBytes = DefaultWeightBytes
	}
	if c.WeightBytesPerSecond == 0 {
		c.WeightBytesPerSecond = DefaultWeightBytesPerSecond
	}
	if c.WeightReaders == 0 {
		c.WeightReaders = DefaultWeightReaders
	}
	if c.MachineLimit == 0 {
		c.MachineLimit = DefaultMachineLimit
	}
	c.Lag = max(c.Lag, 0)
	return c
}

// StateRequest sets a machine's state. Address is needed for a new machine.
type StateRequest struct {
	State   State  `json:"state"`
	Address string `json:"address,omitempty"`
}

// Server is the platform; it is safe for concurrent use.
type Server struct {
	config   Config
	machines *registry
	weights  *weightStore
}

// NewServer returns a server that knows the configured machines.
func NewServer(config Config) *Server {
	config = config.withDefaults()
	server := &Server{config: config, machines: newRegistry(), weights: newWeightStore(&config)}
	for _, machine := range config.Machines {
		if machine.State == "" {
			machine.State = StateLive
		}
		server.machines.set(machine)
	}
	return server
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMachines, s.getMachines)
	mux.HandleFunc("GET "+PathMachine, s.getMachine)
	mux.HandleFunc("POST "+PathMachine, s.setMachine)
	mux.HandleFunc("GET "+PathWeights, s.weights.serve)
	return mux
}

// Run serves until ctx ends.
func Run(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return labhttp.Serve(ctx, listener, NewServer(config).Handler(), stopTimeout, nil)
}

func (s *Server) getMachines(w http.ResponseWriter, _ *http.Request) {
	asOf := time.Now().Add(-s.config.Lag)
	labhttp.Write(w, http.StatusOK, MachineList{Machines: s.machines.list(asOf), AsOf: asOf})
}

func (s *Server) getMachine(w http.ResponseWriter, r *http.Request) {
	machine, known := s.machines.current(r.PathValue("name"))
	if !known {
		http.Error(w, "unknown machine", http.StatusNotFound)
		return
	}
	labhttp.Write(w, http.StatusOK, machine)
}

func (s *Server) setMachine(w http.ResponseWriter, r *http.Request) {
	var request StateRequest
	fault := labhttp.Decode(w, r, labhttp.DefaultBodyLimit, labhttp.RefuseUnknown, &request)
	if fault == nil {
		fault = s.check(r.PathValue("name"), &request)
	}
	if fault != nil {
		http.Error(w, fault.Error(), fault.Status)
		return
	}
	machine := s.machines.set(Machine{
		Name:    r.PathValue("name"),
		Address: request.Address,
		State:   request.State,
		Since:   time.Now(),
	})
	labhttp.Write(w, http.StatusOK, machine)
}

func (s *Server) check(name string, request *StateRequest) *labhttp.BodyError {
	switch request.State {
	case StateLive, StateLeaving, StateGone:
	default:
		return labhttp.FieldError("state", "want live, leaving or gone")
	}
	if _, known := s.machines.current(name); known {
		return nil
	}
	if request.Address == "" {
		return labhttp.FieldError("address", "needed for a new machine")
	}
	if s.machines.count() >= s.config.MachineLimit {
		return &labhttp.BodyError{Status: http.StatusServiceUnavailable, Message: "too many machines"}
	}
	return nil
}
