/* Parses the settings of the edge daemon, valid and with one fault each.  */

#include "edge/settings.h"
#include "tests/unit.h"

#include <string.h>
#include <talloc.h>

static const char good[]
    = "name = \"e\"\ndata_centre = \"a\"\ndialect = \"platform\"\n"
      "callers = \"10.0.0.1:80\"\nbalancer = \"10.0.0.1:81\"\n"
      "peer_port = 7340\nmetrics_port = 9464\n"
      "platform_url = \"http://10.0.0.9:1\"\nfirst_start = true\n"
      "[bounds]\ncontact_ms = 3000\nconfig_apply_ms = 2000\ndrain_ms = 2000\n"
      "grace_ms = 8000\nrevoke_ms = 5000\nrevoke_fail_closed = true\n"
      "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 103\n"
      "stall_ms = 4000\nfencing_enforced = true\n";

static bool
parse (const char *text, struct bd_edge_settings *settings, void *mem,
       const char **fault)
{
  struct bd_faults faults = { .ctx = mem };
  bool is_read = bd_edge_settings_parse (settings, mem, "f", text,
                                         strlen (text), &faults);

  *fault = faults.text != NULL ? faults.text : "";
  return is_read;
}

static void
test_good (void)
{
  void *mem = talloc_new (NULL);
  struct bd_edge_settings settings;
  const char *fault;

  CU_ASSERT_TRUE (parse (good, &settings, mem, &fault));
  CU_ASSERT_STRING_EQUAL (settings.address, "10.0.0.1");
  CU_ASSERT_EQUAL (settings.http_port, 80);
  CU_ASSERT_EQUAL (settings.ready_port, 81);
  CU_ASSERT_TRUE (settings.is_first_start);
  CU_ASSERT_EQUAL (settings.bounds.retry_slack, 103);
  talloc_free (mem);
}

/* A fault names the field.  */
static void
test_faults (void)
{
  static const struct
  {
    const char *from;
    const char *to;
    const char *names;
  } cases[] = {
    { "peer_port = 7340\n", "", "peer_port" },
    { "peer_port = 7340", "peer_port = \"x\"", "peer_port" },
    { "peer_port = 7340", "peer_port = 70000", "peer_port" },
    { "10.0.0.1:80", "10.0.0.1", "callers" },
    { "10.0.0.1:81", "host:81", "balancer" },
    { "revoke_ms = 5000\n", "", "revoke_ms" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      void *mem = talloc_new (NULL);
      const char *at = strstr (good, cases[i].from);
      char *text = talloc_asprintf (mem, "%.*s%s%s", (int)(at - good), good,
                                    cases[i].to, at + strlen (cases[i].from));
      struct bd_edge_settings settings;
      const char *fault;

      CU_ASSERT_FALSE (parse (text, &settings, mem, &fault));
      CU_ASSERT_PTR_NOT_NULL (strstr (fault, cases[i].names));
      talloc_free (mem);
    }
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "good", test_good }, { "faults", test_faults } };

  return UNIT_RUN ("edge settings", tests);
}
