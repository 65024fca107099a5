package soak

import (
	"fmt"
	"strings"
)

// Paths of the routes. The route of movePath changes between the services.
const (
	viewPath, savePath, findPath, movePath = "/view/", "/save/", "/find/", "/move/"
	host                                   = "wiki.example"
)

// services are those of the deployment.
var services = []string{"pages", "finder"}

// servicesOf returns the services to which a version may send a path.
func servicesOf(path string) []string {
	switch {
	case path == viewPath || path == savePath:
		return services[:1]
	case path == findPath:
		return services[1:]
	case path == movePath || isMarker(path):
		return services
	}
	return nil
}

// markerPath returns the path of the route that version adds. It shows which version is in force.
func markerPath(version int) string { return fmt.Sprintf("/marker%d/", version) }

func isMarker(path string) bool { return strings.HasPrefix(path, "/marker") }

const (
	routeForm = `{"typeUrl":"routes","metadata":{"name":"r%s"},"spec":{"host":"` + host + `","prefix":%q,"kind":%q,"timeoutS":4,` +
		`"targetLatencyS":0.5,"priority":%d,"service":%q,"maxAttempts":2}}`
	serviceForm = `{"typeUrl":"services","metadata":{"name":%q},"spec":{"healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}}`
	limitsForm  = `{"typeUrl":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":5,"idleTimeoutS":30}}`
)

// configuration returns the operator's configuration of a version. Versions are numbered in uneven steps.
func configuration(version int) []byte {
	route := func(path, kind string, priority int, service string) string {
		return fmt.Sprintf(routeForm, strings.ReplaceAll(path, "/", "-"), path, kind, priority, service)
	}
	resources := []string{
		route(viewPath, "safe", 0, services[0]), route(savePath, "unsafe", 0, services[0]),
		route(findPath, "safe", 1, services[1]), route(movePath, "safe", 2, services[version%len(services)]),
	}
	for marker := 1; marker <= version; marker++ {
		resources = append(resources, route(markerPath(marker), "safe", 2, services[marker%len(services)]))
	}
	for _, service := range services {
		resources = append(resources, fmt.Sprintf(serviceForm, service))
	}
	resources = append(resources, limitsForm)
	return fmt.Appendf(nil, `{"version":"r%d","resources":[%s]}`, 3*version+1, strings.Join(resources, ","))
}
