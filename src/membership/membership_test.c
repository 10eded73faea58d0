/* Unit tests of the membership module.  */

#include "tests/unit.h"

#include "membership/membership.h"
#include "membership/news.h"

#include <stdio.h>
#include <talloc.h>

static struct bd_member
member (const char *name, const char *data_centre, int64_t incarnation)
{
  struct bd_member out = { .incarnation = incarnation, .peer_port = 1 };

  bd_name_copy (out.name, name);
  bd_name_copy (out.data_centre, data_centre);
  return out;
}

static void
receive_heartbeat (struct bd_membership *m, const char *name,
                   const char *data_centre, int64_t now_ms)
{
  struct bd_member heartbeat = member (name, data_centre, 1);

  CU_ASSERT_EQUAL (bd_membership_receive_heartbeat (m, &heartbeat, now_ms),
                   BD_OK);
}

static void
test_incarnations (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("b", "x", 1);
  struct bd_member heartbeat = member ("a", "x", 5);
  struct bd_membership m;

  bd_membership_init (&m, ctx, &self, 1000);
  CU_ASSERT_EQUAL (bd_membership_receive_heartbeat (&m, &heartbeat, 0), BD_OK);
  CU_ASSERT_FALSE (bd_membership_is_controller (&m, "x"));
  /* A paused process returns with the same incarnation.  */
  CU_ASSERT_TRUE (bd_membership_tick (&m, 1001));
  CU_ASSERT_TRUE (bd_membership_is_controller (&m, "x"));
  CU_ASSERT_EQUAL (bd_membership_receive_heartbeat (&m, &heartbeat, 2000),
                   BD_OK);
  CU_ASSERT_FALSE (bd_membership_is_controller (&m, "x"));
  /* A restart, then a delayed message of the previous process.  */
  heartbeat.incarnation = 6;
  CU_ASSERT_EQUAL (bd_membership_receive_heartbeat (&m, &heartbeat, 2100),
                   BD_OK);
  heartbeat.incarnation = 5;
  CU_ASSERT_EQUAL (bd_membership_receive_heartbeat (&m, &heartbeat, 2200),
                   BD_ERR_STALE);
  /* Heartbeats with this daemon's own name are rejected.  */
  heartbeat = member ("b", "x", 99);
  CU_ASSERT_EQUAL (bd_membership_receive_heartbeat (&m, &heartbeat, 2300),
                   BD_ERR_STALE);
  talloc_free (ctx);
}

static void
test_replaced_members_are_removed (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("me", "x", 1);
  struct bd_membership m;
  char name[BD_NAME_SIZE];

  bd_membership_init (&m, ctx, &self, 1000);
  bd_membership_add (&m, "pinned", "x", "127.0.0.1", 1)->is_pinned = true;
  bd_membership_add (&m, "listed", "x", "127.0.0.1", 2)->is_listed = true;
  for (int i = 0; i < 100; i++)
    {
      snprintf (name, sizeof name, "replaced-%d", i);
      receive_heartbeat (&m, name, "x", i * 1000);
    }
  receive_heartbeat (&m, "listed", "x", 0);
  CU_ASSERT_EQUAL (m.count, 103);
  bd_membership_tick (&m, 99000 + 600000);
  CU_ASSERT_EQUAL (m.count, 4);
  bd_membership_tick (&m, 99001 + 600000);
  CU_ASSERT_EQUAL (m.count, 3);
  /* A member that is no longer listed is removed as well.  */
  bd_membership_clear_listed (&m);
  bd_membership_tick (&m, 99002 + 600000);
  CU_ASSERT_EQUAL (m.count, 2);
  CU_ASSERT_PTR_NOT_NULL (bd_membership_find (&m, "pinned"));
  talloc_free (ctx);
}

static void
test_stopping_member_has_no_duties (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("b", "x", 1);
  struct bd_member heartbeat = member ("a", "x", 5);
  struct bd_membership m;

  bd_membership_init (&m, ctx, &self, 1000);
  heartbeat.is_stopping = true;
  bd_membership_receive_heartbeat (&m, &heartbeat, 0);
  CU_ASSERT_TRUE (bd_membership_is_controller (&m, "x"));
  CU_ASSERT_FALSE (bd_membership_has_duty (&m, "a", "x", "k", 9));
  talloc_free (ctx);
}

static void
test_duties_are_spread (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("d0", "x", 1);
  struct bd_membership m;
  uint32_t duties[8] = { 0 };
  char name[BD_NAME_SIZE];

  bd_membership_init (&m, ctx, &self, 1000);
  for (int i = 1; i < 8; i++)
    {
      snprintf (name, sizeof name, "d%d", i);
      receive_heartbeat (&m, name, "x", 0);
    }
  for (int key = 0; key < 400; key++)
    {
      char text[16];
      uint32_t holders = 0;
      snprintf (text, sizeof text, "key%d", key);
      for (int i = 0; i < 8; i++)
        {
          snprintf (name, sizeof name, "d%d", i);
          if (!bd_membership_has_duty (&m, name, "x", text, 2))
            continue;
          duties[i]++;
          holders++;
        }
      CU_ASSERT_EQUAL (holders, 2);
    }
  for (int i = 0; i < 8; i++)
    CU_ASSERT_TRUE (duties[i] > 50 && duties[i] < 200);
  talloc_free (ctx);
}

static void
test_only_relays_send_to_other_data_centres (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("a0", "x", 1);
  struct bd_membership m;
  char name[BD_NAME_SIZE];
  uint32_t relays = 0;
  uint32_t recipients = 0;

  bd_membership_init (&m, ctx, &self, 1000);
  for (int i = 1; i < 10; i++)
    {
      snprintf (name, sizeof name, "a%d", i);
      receive_heartbeat (&m, name, "x", 0);
      snprintf (name, sizeof name, "b%d", i);
      receive_heartbeat (&m, name, "y", 0);
    }
  for (uint32_t i = 0; i < m.count; i++)
    {
      if (bd_membership_is_relay (&m, &m.members[i]))
        relays++;
      if (bd_membership_should_send_heartbeat (&m, &m.members[i]))
        recipients++;
    }
  CU_ASSERT_EQUAL (relays, 4);
  CU_ASSERT_EQUAL (recipients,
                   9 + (bd_membership_is_relay (&m, &m.members[0]) ? 2 : 0));
  talloc_free (ctx);
}

/* Members that a relay reports live longer than the relay itself, and a report
   of no change keeps them alive.  */
static void
test_reported_members (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("b", "x", 1);
  struct bd_membership m;
  const struct bd_member *relay;
  const struct bd_member *reported;

  bd_membership_init (&m, ctx, &self, 1000);
  m.reported_dead_after_ms = 3000;
  receive_heartbeat (&m, "relay", "x", 0);
  bd_membership_add (&m, "c", "x", "10.0.0.3", 1);
  relay = bd_membership_find (&m, "relay");
  bd_membership_begin_report (&m);
  bd_membership_report (&m, relay, bd_hash ("c", 1), false, false, 0);
  bd_membership_report (&m, relay, bd_hash ("relay", 5), false, false, 0);
  reported = bd_membership_find (&m, "c");
  CU_ASSERT_TRUE (reported->is_live);
  CU_ASSERT_TRUE (bd_membership_tick (&m, 1001));
  CU_ASSERT_FALSE (bd_membership_find (&m, "relay")->is_live);
  CU_ASSERT_TRUE (reported->is_live);
  bd_membership_confirm_reported (&m, relay, 2900);
  CU_ASSERT_FALSE (bd_membership_tick (&m, 5900));
  CU_ASSERT_TRUE (reported->is_live);
  /* The next report lacks it.  */
  bd_membership_begin_report (&m);
  bd_membership_report (&m, relay, bd_hash ("relay", 5), false, false, 5900);
  bd_membership_confirm_reported (&m, relay, 5900);
  CU_ASSERT_TRUE (bd_membership_tick (&m, 5901));
  CU_ASSERT_FALSE (reported->is_live);
  CU_ASSERT_TRUE (bd_membership_find (&m, "relay")->is_live);
  talloc_free (ctx);
}

/* A member that a daemon has heard itself falls silent.  Another daemon that
   still counts it as alive does not bring it back; one that has heard it since
   does.  */
static void
check_silent_member (const char *data_centre, int64_t dead_after_ms)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("b", "x", 1);
  int64_t died_ms = dead_after_ms + 1;
  int64_t heard_of_ms = died_ms + dead_after_ms / 3 + 1;
  struct bd_membership m;
  const struct bd_member *reporter;
  const struct bd_member *silent;

  bd_membership_init (&m, ctx, &self, 1200);
  m.remote_dead_after_ms = 3000;
  m.reported_dead_after_ms = 3000;
  receive_heartbeat (&m, "silent", data_centre, 0);
  receive_heartbeat (&m, "r", "x", died_ms);
  silent = bd_membership_find (&m, "silent");
  reporter = bd_membership_find (&m, "r");
  CU_ASSERT_TRUE (bd_membership_tick (&m, died_ms));
  CU_ASSERT_FALSE (silent->is_live);
  bd_membership_begin_report (&m);
  bd_membership_report (&m, reporter, bd_hash ("silent", 6), false, false,
                        died_ms);
  CU_ASSERT_FALSE (bd_membership_end_report (&m, reporter));
  CU_ASSERT_FALSE (silent->is_live);
  bd_membership_confirm_reported (&m, reporter, heard_of_ms - 1);
  CU_ASSERT_FALSE (silent->is_live);
  bd_membership_confirm_reported (&m, reporter, heard_of_ms);
  CU_ASSERT_TRUE (silent->is_live);
  /* Its own heartbeat counts at once.  */
  CU_ASSERT_TRUE (bd_membership_tick (&m, 20000));
  receive_heartbeat (&m, "silent", data_centre, 20000);
  CU_ASSERT_TRUE (silent->is_live);
  talloc_free (ctx);
}

static void
test_older_reports_do_not_revive (void)
{
  check_silent_member ("x", 1200);
  check_silent_member ("y", 3000);
}

/* The daemon stands still after a member has died; a report that was waiting
   is read then.  */
static void
test_report_read_after_stall_does_not_revive (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("b", "x", 1);
  struct bd_membership m;

  bd_membership_init (&m, ctx, &self, 1200);
  receive_heartbeat (&m, "silent", "x", 0);
  receive_heartbeat (&m, "r", "x", 1201);
  CU_ASSERT_TRUE (bd_membership_tick (&m, 1201));
  bd_membership_add_stall (&m, 1500, 2710);
  bd_membership_begin_report (&m);
  bd_membership_report (&m, bd_membership_find (&m, "r"),
                        bd_hash ("silent", 6), false, false, 2711);
  CU_ASSERT_FALSE (bd_membership_find (&m, "silent")->is_live);
  talloc_free (ctx);
}

/* A member of the list that has not been heard itself, as those of a large
   fleet, counts as alive at first.  The first report of it counts.  */
static void
test_late_first_report_counts (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("b", "x", 1);
  struct bd_membership m;
  struct bd_member *listed;

  bd_membership_init (&m, ctx, &self, 1000);
  m.reported_dead_after_ms = 3000;
  receive_heartbeat (&m, "r", "x", 1001);
  listed = bd_membership_add (&m, "c", "x", "10.0.0.3", 1);
  listed->is_live = true;
  CU_ASSERT_TRUE (bd_membership_tick (&m, 1001));
  CU_ASSERT_FALSE (listed->is_live);
  bd_membership_begin_report (&m);
  bd_membership_report (&m, bd_membership_find (&m, "r"), bd_hash ("c", 1),
                        false, false, 1100);
  CU_ASSERT_TRUE (listed->is_live);
  talloc_free (ctx);
}

/* Time in which this daemon stood still is no silence of others; what it heard
   after that counts from then.  */
static void
test_own_stall_is_no_silence (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("b", "x", 1);
  struct bd_membership m;

  bd_membership_init (&m, ctx, &self, 1000);
  receive_heartbeat (&m, "a", "x", 100);
  receive_heartbeat (&m, "c", "x", 1900);
  bd_membership_add_stall (&m, 1500, 1900);
  CU_ASSERT_FALSE (bd_membership_tick (&m, 2600));
  CU_ASSERT_TRUE (
      bd_membership_is_witnessed (&m, bd_membership_find (&m, "a"), 2600));
  CU_ASSERT_FALSE (
      bd_membership_is_witnessed (&m, bd_membership_find (&m, "a"), 2601));
  CU_ASSERT_TRUE (bd_membership_tick (&m, 2601));
  CU_ASSERT_FALSE (bd_membership_find (&m, "a")->is_live);
  CU_ASSERT_FALSE (bd_membership_tick (&m, 2900));
  CU_ASSERT_TRUE (bd_membership_tick (&m, 2901));
  /* One that was dead before stays so.  */
  bd_membership_add_stall (&m, 1500, 4500);
  CU_ASSERT_FALSE (bd_membership_find (&m, "a")->is_live);
  talloc_free (ctx);
}

/* What daemons of another data centre say of the members of this one does not
   count: they may hear a part that this one has lost.  */
static void
test_another_data_centre_does_not_report_this_one (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("b", "x", 1);
  struct bd_membership m;
  const struct bd_member *remote;

  bd_membership_init (&m, ctx, &self, 1000);
  receive_heartbeat (&m, "remote", "y", 0);
  bd_membership_add (&m, "local", "x", "10.0.0.3", 1);
  bd_membership_add (&m, "other", "y", "10.0.0.4", 1);
  remote = bd_membership_find (&m, "remote");
  bd_membership_report (&m, remote, bd_hash ("local", 5), false, false, 0);
  bd_membership_report (&m, remote, bd_hash ("other", 5), false, false, 0);
  CU_ASSERT_FALSE (bd_membership_find (&m, "local")->is_live);
  CU_ASSERT_TRUE (bd_membership_find (&m, "other")->is_live);
  talloc_free (ctx);
}

/* Sends the list of one table to another, as a relay replies to a status.  */
static void
send_report (const struct bd_membership *from, struct bd_membership *to,
             int64_t now_ms)
{
  const struct bd_member *reporter
      = bd_membership_find (to, from->members[0].name);

  bd_membership_begin_report (to);
  for (uint32_t i = 0; i < from->count; i++)
    if (bd_membership_is_witnessed (from, &from->members[i], now_ms))
      bd_membership_report (to, reporter, from->members[i].name_hash,
                            from->members[i].is_stopping,
                            from->members[i].is_isolated, now_ms);
  bd_membership_end_report (to, reporter);
}

/* Two relays of a data centre and one that follows them forget a member that
   has died, though each of them has it from reports of another one.  */
static void
test_reports_do_not_keep_the_dead (void)
{
  enum
  {
    DEAD_AFTER_MS = 1000,
    REPORTED_DEAD_AFTER_MS = 3000,
    PERIOD_MS = 200,
    DIES_MS = 2000,
    END_MS = DIES_MS + DEAD_AFTER_MS + REPORTED_DEAD_AFTER_MS + PERIOD_MS
  };
  void *ctx = talloc_new (NULL);
  static const char *const names[] = { "r1", "r2", "f" };
  struct bd_membership tables[3];

  for (uint32_t i = 0; i < 3; i++)
    {
      struct bd_member self = member (names[i], "x", 1);

      bd_membership_init (&tables[i], ctx, &self, DEAD_AFTER_MS);
      tables[i].reported_dead_after_ms = REPORTED_DEAD_AFTER_MS;
      bd_membership_add (&tables[i], "d", "x", "10.0.0.4", 1);
    }
  for (int64_t now_ms = 1; now_ms <= END_MS; now_ms += PERIOD_MS)
    {
      for (uint32_t i = 0; i < 3; i++)
        for (uint32_t j = 0; j < 3; j++)
          if (i != j)
            receive_heartbeat (&tables[i], names[j], "x", now_ms);
      for (uint32_t i = 0; i < 2 && now_ms <= DIES_MS; i++)
        receive_heartbeat (&tables[i], "d", "x", now_ms);
      send_report (&tables[0], &tables[1], now_ms);
      send_report (&tables[1], &tables[0], now_ms);
      send_report (&tables[now_ms / PERIOD_MS % 2], &tables[2], now_ms);
      /* The relays take it for one of them.  */
      send_report (&tables[2], &tables[0], now_ms);
      send_report (&tables[2], &tables[1], now_ms);
      for (uint32_t i = 0; i < 3; i++)
        bd_membership_tick (&tables[i], now_ms);
      if (now_ms <= DIES_MS)
        CU_ASSERT_TRUE (bd_membership_find (&tables[2], "d")->is_live);
    }
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_FALSE (bd_membership_find (&tables[i], "d")->is_live);
  talloc_free (ctx);
}

/* A member that one relay has reported stays when the report of another one
   lacks it, and goes when that of the same one does.  */
static void
test_reports_that_differ (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("f", "x", 1);
  struct bd_membership m;
  const struct bd_member *r1;
  const struct bd_member *r2;

  bd_membership_init (&m, ctx, &self, 1000);
  m.reported_dead_after_ms = 3000;
  receive_heartbeat (&m, "r1", "x", 0);
  receive_heartbeat (&m, "r2", "x", 0);
  bd_membership_add (&m, "d", "x", "10.0.0.4", 1);
  r1 = bd_membership_find (&m, "r1");
  r2 = bd_membership_find (&m, "r2");
  bd_membership_begin_report (&m);
  bd_membership_report (&m, r1, bd_hash ("d", 1), false, false, 100);
  CU_ASSERT_FALSE (bd_membership_end_report (&m, r1));
  bd_membership_begin_report (&m);
  CU_ASSERT_TRUE (bd_membership_end_report (&m, r2));
  CU_ASSERT_TRUE (bd_membership_find (&m, "d")->is_live);
  bd_membership_begin_report (&m);
  CU_ASSERT_TRUE (bd_membership_end_report (&m, r1));
  CU_ASSERT_FALSE (bd_membership_find (&m, "d")->is_live);
  bd_membership_begin_report (&m);
  bd_membership_report (&m, r2, bd_hash ("d", 1), false, false, 300);
  CU_ASSERT_FALSE (bd_membership_end_report (&m, r2));
  CU_ASSERT_TRUE (bd_membership_find (&m, "d")->is_live);
  talloc_free (ctx);
}

/* A copy is passed on with a later stage only, by whomever it reaches, so that
   news and their end do not go round between relays for ever; and every daemon
   gets one.  */
static void
test_news_do_not_come_back (void)
{
  for (uint32_t stage = BD_NEWS_TO_OWN_RELAYS; stage <= BD_NEWS_TO_MEMBERS;
       stage++)
    for (int is_relay = 0; is_relay < 2; is_relay++)
      {
        struct bd_news_receivers out
            = bd_news_forward ((enum bd_news_stage)stage, is_relay != 0);

        CU_ASSERT_FALSE (out.own_relays);
        CU_ASSERT_TRUE (!out.other_relays || stage < BD_NEWS_TO_OTHER_RELAYS);
        CU_ASSERT_TRUE (!out.members || stage < BD_NEWS_TO_MEMBERS);
      }
  CU_ASSERT_TRUE (bd_news_start (true, false).members);
  CU_ASSERT_TRUE (bd_news_start (false, false).own_relays);
  CU_ASSERT_TRUE (bd_news_start (false, true).members);
  CU_ASSERT_TRUE (bd_news_start (false, true).other_relays);
  CU_ASSERT_TRUE (bd_news_forward (BD_NEWS_TO_OWN_RELAYS, true).members);
  CU_ASSERT_TRUE (bd_news_forward (BD_NEWS_TO_OWN_RELAYS, true).other_relays);
  CU_ASSERT_TRUE (bd_news_forward (BD_NEWS_TO_OTHER_RELAYS, true).members);
}

/* Duties go to the largest instances; equal ones are chosen by a hash.  */
static void
test_larger_instances_first (void)
{
  void *ctx = talloc_new (NULL);
  struct bd_member self = member ("a", "x", 1);
  struct bd_membership m;
  uint32_t relays = 0;

  bd_membership_init (&m, ctx, &self, 1000);
  m.members[0].cpu_share = 0.12;
  receive_heartbeat (&m, "b", "x", 0);
  receive_heartbeat (&m, "c", "x", 0);
  receive_heartbeat (&m, "d", "x", 0);
  bd_membership_find (&m, "c")->cpu_share = 0.5;
  bd_membership_find (&m, "d")->cpu_share = 0.5;
  for (uint32_t i = 0; i < m.count; i++)
    relays += bd_membership_is_relay (&m, &m.members[i]);
  CU_ASSERT_EQUAL (relays, 2);
  CU_ASSERT_TRUE (bd_membership_is_relay (&m, bd_membership_find (&m, "c")));
  CU_ASSERT_TRUE (bd_membership_is_relay (&m, bd_membership_find (&m, "d")));
  CU_ASSERT_STRING_EQUAL (bd_membership_controller (&m, "x")->name, "c");
  talloc_free (ctx);
}

static const struct unit_test tests[] = {
  { "reported members", test_reported_members },
  { "older reports do not revive", test_older_reports_do_not_revive },
  { "report read after a stall does not revive",
    test_report_read_after_stall_does_not_revive },
  { "late first report counts", test_late_first_report_counts },
  { "own stall is no silence", test_own_stall_is_no_silence },
  { "another data centre does not report this one",
    test_another_data_centre_does_not_report_this_one },
  { "reports do not keep the dead", test_reports_do_not_keep_the_dead },
  { "reports that differ", test_reports_that_differ },
  { "news do not come back", test_news_do_not_come_back },
  { "larger instances first", test_larger_instances_first },
  { "incarnations", test_incarnations },
  { "replaced members", test_replaced_members_are_removed },
  { "a stopping member has no duties", test_stopping_member_has_no_duties },
  { "duties are spread", test_duties_are_spread },
  { "relays", test_only_relays_send_to_other_data_centres },
};

int
main (void)
{
  return UNIT_RUN ("membership", tests);
}
