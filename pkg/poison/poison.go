// Package poison recognises requests that crash the replicas which run them.
package poison
