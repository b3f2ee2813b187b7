package event

// Events of the proxy daemon: numbers 2000 to 2999.
var (
	ProxyStarted = define(2000, "proxy_started", Info, "The proxy accepts callers.", "")
	ProxyStopped = define(2001, "proxy_stopped", Info, "The proxy has finished every request in flight and stopped.", "")
)
