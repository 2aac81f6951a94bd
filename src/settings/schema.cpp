#include "fuchsiaproxy/settings/load.hpp"

namespace fuchsiaproxy::settings
{

std::string_view schema_text() noexcept
{
    return R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "listen", "platform", "peers"],
  "properties": {
    "instance": {
      "description": "Identity and location of the entry.",
      "type": "object", "additionalProperties": false, "required": ["id", "region", "zone"],
      "properties": {
        "id": {"description": "Unique name of the entry instance.", "type": "string",
               "pattern": "^[A-Za-z0-9_-]{1,64}$"},
        "region": {"description": "Region of the instance.", "type": "string",
                   "pattern": "^[A-Za-z0-9_-]{1,64}$"},
        "zone": {"description": "Availability zone of the instance.", "type": "string",
                 "pattern": "^[A-Za-z0-9_-]{1,64}$"}
      }
    },
    "listen": {
      "description": "Addresses to listen on.",
      "type": "object", "additionalProperties": false,
      "required": ["callers", "peers", "operators"],
      "properties": {
        "callers": {"$ref": "#/definitions/endpoint"},
        "peers": {"$ref": "#/definitions/endpoint"},
        "operators": {"$ref": "#/definitions/endpoint"}
      }
    },
    "advertise": {
      "description": "Addresses given to others, as ip:port. Default: where the entry listens.",
      "type": "object", "additionalProperties": false, "default": {},
      "properties": {
        "callers": {"description": "Address for callers.", "type": "string", "default": ""},
        "peers": {"description": "Address for other entries.", "type": "string", "default": ""}
      }
    },
    "platform": {
      "description": "The platform's services.",
      "type": "object", "additionalProperties": false, "required": ["store", "instances"],
      "properties": {
        "store": {"$ref": "#/definitions/endpoint"},
        "instances": {"$ref": "#/definitions/endpoint"},
        "call_timeout_ms": {"description": "Limit of one call, in milliseconds.",
                            "type": "integer", "minimum": 10, "maximum": 10000, "default": 1000}
      }
    },
    "peers": {
      "description": "Links between entries.",
      "type": "object", "additionalProperties": false, "required": ["secret"],
      "properties": {
        "secret": {"description": "Secret that all entries share.", "type": "string",
                   "minLength": 16, "maxLength": 256}
      }
    },
    "limits": {
      "description": "Bounds on connections, queues and memory.",
      "type": "object", "additionalProperties": false, "default": {},
      "properties": {
        "caller_connections": {"description": "Caller connections in all.", "type": "integer",
                               "minimum": 1, "maximum": 100000, "default": 4096},
        "caller_connections_per_address": {
          "description": "Caller connections from one IP address.", "type": "integer",
          "minimum": 1, "maximum": 100000, "default": 1024},
        "body_bytes": {"description": "Size of a request body, in bytes.", "type": "integer",
                       "minimum": 0, "maximum": 1073741824, "default": 67108864},
        "buffers": {"description": "Buffers of 16 KiB for heads and bodies in transit.",
                    "type": "integer", "minimum": 16, "maximum": 1000000, "default": 8192},
        "queued_requests": {"description": "Requests that wait for a slot.", "type": "integer",
                            "minimum": 1, "maximum": 100000, "default": 1024},
        "ring_items": {"description": "Items in each ring between two threads.",
                       "type": "integer", "minimum": 16, "maximum": 1000000, "default": 8192},
        "request_records": {
          "description": "Records of requests that run at most once.", "type": "integer",
          "minimum": 1, "maximum": 10000000, "default": 200000},
        "connections_per_upstream": {
          "description": "Connections of this entry to one upstream.", "type": "integer",
          "minimum": 1, "maximum": 400, "default": 29}
      }
    },
    "timing": {
      "description": "Time limits.",
      "type": "object", "additionalProperties": false, "default": {},
      "properties": {
        "lookup_ttl_ms": {"description": "Time for which callers keep a look-up, in milliseconds.",
                          "type": "integer", "minimum": 100, "maximum": 60000, "default": 5000},
        "drain_bound_ms": {
          "description": "Longest wait for requests in flight at a planned stop, in milliseconds.",
          "type": "integer", "minimum": 0, "maximum": 3600000, "default": 120000},
        "claim_timeout_ms": {"description": "Wait for the witness's grant, in milliseconds.",
                             "type": "integer", "minimum": 10, "maximum": 10000, "default": 250},
        "heartbeat_ms": {"description": "Period of heartbeats, in milliseconds.",
                         "type": "integer", "minimum": 100, "maximum": 10000, "default": 1000},
        "lost_after_ms": {
          "description": "Silence after which another entry counts as lost, in milliseconds.",
          "type": "integer", "minimum": 300, "maximum": 60000, "default": 3000},
        "header_timeout_ms": {"description": "Limit for a request's header, in milliseconds.",
                              "type": "integer", "minimum": 100, "maximum": 60000,
                              "default": 5000},
        "idle_limit_ms": {
          "description": "Time without progress after which a connection is closed, in milliseconds.",
          "type": "integer", "minimum": 100, "maximum": 3600000, "default": 30000},
        "connect_limit_ms": {"description": "Limit for opening a connection to an upstream, in milliseconds.",
                             "type": "integer", "minimum": 10, "maximum": 60000, "default": 500},
        "pooled_idle_limit_ms": {
          "description": "Time for which an unused upstream connection is kept, in milliseconds.",
          "type": "integer", "minimum": 10, "maximum": 3600000, "default": 10000}
      }
    },
    "log": {
      "description": "Logging.",
      "type": "object", "additionalProperties": false, "default": {},
      "properties": {
        "level": {"description": "Lowest level that is written.", "type": "string",
                  "enum": ["debug", "info", "warn", "error"], "default": "info"}
      }
    },
    "seed": {"description": "Seed of random choices; 0 draws one at the start.",
             "type": "integer", "minimum": 0, "default": 0}
  },
  "definitions": {
    "endpoint": {
      "description": "IP address and port.",
      "type": "object", "additionalProperties": false, "required": ["address", "port"],
      "properties": {
        "address": {"description": "IP address.", "type": "string",
                    "pattern": "^[0-9A-Fa-f:.]{2,45}$"},
        "port": {"description": "Port; 0 lets the system choose one.", "type": "integer",
                 "minimum": 0, "maximum": 65535}
      }
    }
  }
})json";
}

} // namespace fuchsiaproxy::settings
