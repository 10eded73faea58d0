/* Properties of the settings and of the platform's configuration: whatever
   value a field has, it is taken, clamped, or refused with an error that names
   the field, and the result is usable.  */

#include <curl/curl.h>
#include <glib.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <microhttpd.h>
#include <talloc.h>
#include <tevent.h>

extern "C"
{
#include "base/log.h"
#include "edge/settings.h"
#include "placement/placement.h"
#include "platform/platform.h"
#include "tests/quiet.h"
}

#include <cmath>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

const std::vector<std::string> values
    = { "0",     "1",        "17",         "17.0",   "0.5",   "42.9",
        "1e6",   "1e15",     "4294967296", "-1",     "-0.25", "true",
        "false", "\"text\"", "\"\"",       "[1, 2]", "[]",    "1e300" };

const std::vector<std::string> bounds
    = { "config_apply_ms", "drain_ms",    "grace_s", "revoke_ms",
        "retry_ratio",     "retry_slack", "stall_ms" };

std::string
settings_text (const std::string &field, const std::string &value)
{
  std::string text
      = "name = \"e\"\ndata_centre = \"a\"\ndialect = \"platform\"\n"
        "callers = \"10.0.0.1:80\"\nbalancer = \"10.0.0.1:81\"\n"
        "peer_port = 7340\nmetrics_port = 9464\n"
        "platform_url = \"http://10.0.0.9:1\"\n[bounds]\n"
        "revoke_fail_closed = true\n";

  for (const auto &bound : bounds)
    text += bound + " = " + (bound == field ? value : "2000") + "\n";
  return text;
}

bool
is_non_negative_number (const std::string &value)
{
  return value[0] >= '0' && value[0] <= '9';
}

void
check_bound (const std::string &field, const std::string &value)
{
  void *mem = talloc_new (NULL);
  struct bd_faults faults = {};
  struct bd_edge_settings settings;
  std::string text = settings_text (field, value);

  faults.ctx = mem;
  if (bd_edge_settings_parse (&settings, mem, "f", text.c_str (), text.size (),
                              &faults))
    {
      RC_ASSERT (settings.bounds.revoke_ms > 0U);
      RC_ASSERT (settings.bounds.config_apply_ms > 0U);
      RC_ASSERT (settings.bounds.drain_ms > 0U);
      RC_ASSERT (settings.bounds.stall_ms > 0U);
      RC_ASSERT (std::isfinite (settings.bounds.retry_slack));
    }
  else
    {
      RC_ASSERT (faults.count == 1U);
      RC_ASSERT (std::string (faults.text).find (field) != std::string::npos);
      /* Numbers that the platform may state are never a reason to stop,
         apart from those beyond any use.  */
      RC_ASSERT (!is_non_negative_number (value) || value == "1e300");
    }
  talloc_free (mem);
}

/* A configuration with one engine, in which one field has value.  */
std::string
configuration_text (const std::string &field, const std::string &value)
{
  const auto pick = [&] (const std::string &name, const std::string &usual) {
    return "\"" + name + "\":" + (name == field ? value : usual);
  };

  return "{" + pick ("Version", "7") + ",\"Limits\":{"
         + pick ("MaxHeaderBytes", "8000") + ","
         + pick ("MaxBodyBytes", "100000") + ","
         + pick ("HeaderTimeoutMs", "5000") + ","
         + pick ("IdleTimeoutMs", "9000")
         + "},\"Routes\":[{\"Name\":\"a\",\"Host\":\"h\",\"PathPrefix\":"
           "\"/a/\",\"Type\":\"streaming\",\"Service\":\"s\","
         + pick ("TimeoutMs", "8000") + "," + pick ("TargetLatencyMs", "400")
         + "," + pick ("TargetGapMs", "300") + "," + pick ("MaxAttempts", "2")
         + "," + pick ("Priority", "1") + "}],\"Services\":[{\"Name\":\"s\","
         + pick ("MaxConnections", "400") + ",\"Engine\":{"
         + pick ("Slots", "17") + "," + pick ("read_per_s", "45900") + ","
         + pick ("step_ms", "7.8") + "," + pick ("chunk", "512") + ","
         + pick ("LoadsPerS", "2.5") + "," + pick ("loads_at_once", "7")
         + ",\"Models\":[{\"Name\":\"m\"," + pick ("size", "4") + ","
         + pick ("pace", "1.5") + "," + pick ("Share", "0.5")
         + "}]}}],\"Tenants\":[]}";
}

const std::vector<std::string> configuration_fields = { "Version",
                                                        "MaxHeaderBytes",
                                                        "MaxBodyBytes",
                                                        "HeaderTimeoutMs",
                                                        "IdleTimeoutMs",
                                                        "TimeoutMs",
                                                        "TargetLatencyMs",
                                                        "TargetGapMs",
                                                        "MaxAttempts",
                                                        "Priority",
                                                        "MaxConnections",
                                                        "Slots",
                                                        "read_per_s",
                                                        "step_ms",
                                                        "chunk",
                                                        "LoadsPerS",
                                                        "loads_at_once",
                                                        "size",
                                                        "pace",
                                                        "Share" };

/* Only a version that is no whole number makes a configuration unusable.  */
void
check_configuration (const std::string &field, const std::string &value)
{
  std::string text = configuration_text (field, value);
  json_t *body = json_loads (text.c_str (), 0, NULL);
  struct bd_routes *routes = bd_platform_read_routes (NULL, body);

  RC_ASSERT (body != nullptr);
  json_decref (body);
  if (routes == nullptr)
    {
      RC_ASSERT (field == "Version");
      RC_ASSERT (value != "0" && value != "1" && value != "17"
                 && value != "17.0");
      return;
    }
  const struct bd_route *route = bd_routes_match (routes, "h", "/a/b");
  const struct bd_route_service *service = bd_routes_service (routes, "s");
  RC_ASSERT (route != nullptr);
  RC_ASSERT (service != nullptr && service->has_engine);
  /* A number above any that the type can hold is not taken as absent.  */
  if (field == "TimeoutMs" && value == "1e15")
    RC_ASSERT (route->timeout_ms == UINT32_MAX);
  const struct bd_engine_model *model
      = bd_engine_model (&service->engine, "m");
  RC_ASSERT (model != nullptr);
  struct bd_group_load load = {};
  RC_ASSERT (
      !std::isnan (bd_first_event_ms (&service->engine, model, &load, 1000)));
  talloc_free (routes);
}

} // namespace

int
main ()
{
  bool is_ok = true;

  unit_silence_log ();
  is_ok = rc::check ("a bound is taken, clamped or refused by name",
                     [] () {
                       check_bound (*rc::gen::elementOf (bounds),
                                    *rc::gen::elementOf (values));
                     })
          && is_ok;
  is_ok = rc::check ("a configuration is used whatever its numbers are",
                     [] () {
                       check_configuration (
                           *rc::gen::elementOf (configuration_fields),
                           *rc::gen::elementOf (values));
                     })
          && is_ok;
  return is_ok ? 0 : 1;
}
