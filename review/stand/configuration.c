/* The operator's configurations.  */

#include "stand.h"

json_t *
route (const char *name, const char *prefix, const char *type,
       const char *service, int attempts, int timeout_ms)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b,s:b,s:i}",
                    "Name", name, "Host", "ficu95.example", "PathPrefix",
                    prefix, "Type", type, "TimeoutMs", timeout_ms,
                    "TargetLatencyMs", 300, "Priority", 1, "Service", service,
                    "MaxAttempts", attempts, "Public", 0, "SessionAffinity",
                    1, "StreamResume", type[0] == 's' && type[1] == 't',
                    "TargetGapMs", 200);
}

json_t *
configuration (int64_t version, json_t *routes, json_t *services,
               json_t *tenants)
{
  return json_pack ("{s:I,s:o,s:o,s:{s:i,s:i,s:i,s:i},s:o}", "Version",
                    (json_int_t)version, "Routes", routes, "Services",
                    services, "Limits", "MaxHeaderBytes", 16384,
                    "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000,
                    "IdleTimeoutMs", 15000, "Tenants", tenants);
}

json_t *
plain_service (const char *name)
{
  return json_pack ("{s:s,s:s,s:i,s:s,s:b}", "Name", name, "HealthPath",
                    "/healthz", "MaxConnections", 96, "Protocol", "h1", "Tls",
                    0);
}

json_t *
engine_service (const char *name, const char *model, int size, double pace)
{
  json_t *models
      = json_pack ("[{s:s,s:i,s:f,s:f,s:f,s:f}]", "Name", model, "size", size,
                   "Share", 1.0, "pace", pace, "LoadS", 2.0, "WarmupS", 0.6);
  json_t *engine = json_pack (
      "{s:i,s:i,s:i,s:o,s:f,s:f,s:f,s:f,s:f,s:i,s:f,s:f,s:i,s:{s:i,s:i},s:i,"
      "s:f,s:f}",
      "Slots", 17, "KvCapacity", 1860000, "Stride", 5, "Models", models,
      "step_ms", 7.8, "per_seq_ms", 0.0947, "context_per_k", 0.0096,
      "read_per_s", 45900.0, "pairs_per_m", 0.433, "chunk", 2048,
      "report_lag_ms", 200.0, "LoadsPerS", 5.0, "loads_at_once", 7, "usual",
      "prompt", 979, "answer", 154, "RetentionCount", 1, "far_x", 2.5,
      "FormMs", 300.0);

  return json_pack ("{s:s,s:s,s:i,s:s,s:b,s:o}", "Name", name, "HealthPath",
                    "/healthz", "MaxConnections", 428, "Protocol", "h1", "Tls",
                    0, "Engine", engine);
}

json_t *
tenant (const char *name, const char *key)
{
  return key != NULL ? json_pack ("{s:s,s:[s],s:i}", "Name", name, "ApiKeys",
                                  key, "Priority", 1)
                     : json_pack ("{s:s,s:[],s:i}", "Name", name, "ApiKeys",
                                  "Priority", 1);
}
