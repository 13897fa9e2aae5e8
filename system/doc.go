// Package system holds end-to-end tests, which run whole deployments of real processes.
package system
