/* Properties of the evidence of crashes, among them a fleet of daemons that
   serves requests with a part that crashes endpoints, while news are late,
   lost and doubled.  */

#include <glib.h>

extern "C"
{
#include "poison/poison.h"
}

#include "tests/poison_model.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace
{

using Evidence = std::vector<struct bd_poison_evidence>;

struct Table
{
  struct bd_poison_table table;

  Table () { bd_poison_init (&table, 300000); }
  ~Table () { bd_poison_finish (&table); }
  Table (const Table &) = delete;
  Table &operator= (const Table &) = delete;
};

uint64_t
part (uint64_t id)
{
  return bd_poison_subject (BD_POISON_PART, id);
}

Evidence
list (const Table &from, int64_t now_ms)
{
  Evidence items (1000);

  items.resize (
      bd_poison_list (&from.table, now_ms, items.data (), items.size ()));
  return items;
}

bool
add (Table &to, const Evidence &items, int64_t now_ms)
{
  return bd_poison_add (&to.table, items.data (), items.size (), now_ms);
}

/* Evidence on some subjects and targets.  */
Evidence
any_evidence (unsigned subjects, unsigned targets)
{
  auto drawn = *rc::gen::container<
      std::vector<std::tuple<unsigned, unsigned, unsigned, bool> > > (
      rc::gen::tuple (
          rc::gen::inRange (0U, subjects), rc::gen::inRange (0U, targets),
          rc::gen::inRange (0U, 5000U), rc::gen::arbitrary<bool> ()));
  Evidence items;

  for (const auto &[subject, target, age, is_cleared] : drawn)
    items.push_back ({ part (subject), target + 1,
                       bd_poison_subject (BD_POISON_REQUEST, target), 1,
                       age + 100, age, is_cleared });
  return items;
}

/* One group of the fleet.  It has a new identity after each crash.  */
struct Group
{
  uint64_t target;
  int64_t back_ms;
};

struct Request
{
  std::vector<uint64_t> subjects;
  bool is_bad;
  unsigned daemon;
  unsigned attempts;
  size_t group;
  int64_t sent_ms;
  int64_t end_ms; /* When it completes or crashes its group.  */
};

struct Message
{
  int64_t arrives_ms;
  unsigned to;
  Evidence items;
};

/* Daemons before a pool of groups; a share of the requests has a part that
   crashes the group that begins to run it.  */
class Fleet
{
public:
  enum
  {
    DAEMONS = 6,
    GROUPS = 15,
    ACCOUNTS = 10,
    SESSIONS = 40,
    STEP_MS = 10,
    CRASH_MS = 150,
    RUN_MS = 600,
    DOWN_MS = 3000,
    CONTACT_MS = 3000,
    LENGTH_MS = 20000,
    EXCHANGE_MS = 100,
    BAD_SUBJECT = 9999,
    MAX_ATTEMPTS = 2
  };

  explicit Fleet (unsigned seed)
      : state (seed + 1), tables (DAEMONS), groups (GROUPS)
  {
    for (auto &group : groups)
      group = { ++last_target, 0 };
  }

  void
  run ()
  {
    for (now_ms = 1; now_ms < LENGTH_MS; now_ms += STEP_MS)
      {
        deliver ();
        end_requests ();
        for (unsigned i = 0; i < 2; i++)
          if (draw (100) < 60)
            arrive ();
        if (now_ms % EXCHANGE_MS < STEP_MS)
          exchange ();
      }
  }

  unsigned bad_sent_late = 0;
  unsigned crashes = 0;
  unsigned sound = 0;
  unsigned sound_refused = 0;

private:
  uint64_t state;
  std::vector<Table> tables;
  std::vector<Group> groups;
  std::vector<Request> running;
  std::vector<Message> messages;
  int64_t now_ms = 0;
  int64_t fifth_crash_ms = INT64_MAX / 2;
  uint64_t last_target = 0;
  uint64_t last_request = 0;

  unsigned
  draw (unsigned limit)
  {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (unsigned)(state >> 33) % limit;
  }

  void
  arrive ()
  {
    Request request = {};
    uint64_t account = draw (draw (2) ? ACCOUNTS : 2);

    request.is_bad = now_ms > 2000 && draw (100) < 8;
    request.daemon = draw (DAEMONS);
    request.subjects = { bd_poison_subject (BD_POISON_REQUEST, ++last_request),
                         part (account), part (100 + draw (SESSIONS)) };
    if (request.is_bad)
      request.subjects.push_back (part (BAD_SUBJECT));
    sound += !request.is_bad;
    send (request);
  }

  void
  send (Request request)
  {
    bool is_refused = bd_poison_blocked (&tables[request.daemon].table,
                                         request.subjects.data (),
                                         request.subjects.size (), now_ms)
                      != 0;

    sound_refused += is_refused && !request.is_bad;
    if (is_refused || request.attempts++ == MAX_ATTEMPTS)
      return;
    request.group = draw (GROUPS);
    if (groups[request.group].back_ms > now_ms)
      return;
    bad_sent_late += request.is_bad && now_ms > fifth_crash_ms + CONTACT_MS;
    request.sent_ms = now_ms;
    request.end_ms = now_ms + (request.is_bad ? CRASH_MS : RUN_MS);
    running.push_back (request);
  }

  void
  broadcast (unsigned from, const Evidence &items)
  {
    for (unsigned to = 0; to < DAEMONS; to++)
      for (unsigned copy = draw (10) < 2   ? 0
                           : draw (10) < 8 ? 1
                                           : 2;
           to != from && copy > 0; copy--)
        messages.push_back ({ now_ms + 1 + draw (60), to, items });
  }

  void
  crash (size_t index)
  {
    std::vector<Request> lost;

    for (auto it = running.begin (); it != running.end ();)
      if (it->group == index)
        {
          lost.push_back (*it);
          it = running.erase (it);
        }
      else
        ++it;
    for (const auto &request : lost)
      {
        Evidence items;

        for (uint64_t subject : request.subjects)
          items.push_back ({ subject, groups[index].target,
                             request.subjects[0], request.daemon,
                             (uint32_t)(now_ms - request.sent_ms), 0, false });
        if (add (tables[request.daemon], items, now_ms))
          broadcast (request.daemon, items);
      }
    groups[index] = { ++last_target, now_ms + DOWN_MS };
    if (++crashes == 5)
      fifth_crash_ms = now_ms;
    for (const auto &request : lost)
      send (request);
  }

  void
  complete (const Request &request)
  {
    Evidence cleared (100);

    cleared.resize (bd_poison_complete (
        &tables[request.daemon].table, request.subjects.data (),
        request.subjects.size (), now_ms, cleared.data (), cleared.size ()));
    if (!cleared.empty ())
      broadcast (request.daemon, cleared);
  }

  void
  end_requests ()
  {
    for (;;)
      {
        auto it = std::find_if (
            running.begin (), running.end (),
            [this] (const Request &r) { return r.end_ms <= now_ms; });
        if (it == running.end ())
          return;
        if (it->is_bad)
          crash (it->group);
        else
          {
            Request request = *it;

            running.erase (it);
            complete (request);
          }
      }
  }

  void
  deliver ()
  {
    std::vector<Message> due;

    for (auto it = messages.begin (); it != messages.end ();)
      if (it->arrives_ms <= now_ms)
        {
          due.push_back (*it);
          it = messages.erase (it);
        }
      else
        ++it;
    for (const auto &message : due)
      add (tables[message.to], message.items, now_ms);
  }

  void
  exchange ()
  {
    for (unsigned from = 0; from < DAEMONS; from++)
      {
        unsigned to = draw (DAEMONS);

        if (bd_poison_checksum (&tables[from].table, now_ms)
                != bd_poison_checksum (&tables[to].table, now_ms)
            && draw (10) >= 2)
          messages.push_back (
              { now_ms + 1 + draw (60), to, list (tables[from], now_ms) });
      }
  }
};

/* A table and a model of it, to which the same things happen.  */
class Comparison
{
public:
  Comparison (unsigned seed, unsigned subjects, unsigned targets)
      : state (seed + 1), subjects (subjects), targets (targets),
        model (RETENTION_MS)
  {
    bd_poison_init (&table, RETENTION_MS);
  }

  ~Comparison () { bd_poison_finish (&table); }
  Comparison (const Comparison &) = delete;
  Comparison &operator= (const Comparison &) = delete;

  /* Returns whether the two agree on all subjects after each step.  */
  bool
  run (unsigned steps)
  {
    for (unsigned i = 0; i < steps; i++)
      {
        now_ms += draw (4) == 0 ? draw (1000) : draw (50);
        if (!step () || !agrees ())
          return false;
      }
    return true;
  }

  unsigned blocked = 0;

private:
  enum
  {
    RETENTION_MS = 3000,
    MAX_ITEMS = 60,
    REQUESTS = 5
  };

  uint64_t state;
  unsigned subjects;
  unsigned targets;
  struct bd_poison_table table;
  PoisonModel model;
  int64_t now_ms = 100000;

  unsigned
  draw (unsigned limit)
  {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (unsigned)(state >> 33) % limit;
  }

  static uint64_t
  subject (unsigned i)
  {
    static const enum bd_poison_kind kinds[]
        = { BD_POISON_REQUEST, BD_POISON_PATH, BD_POISON_PART, BD_POISON_PART,
            BD_POISON_PART };

    return bd_poison_subject (kinds[i % 5], i + 1);
  }

  struct bd_poison_evidence
  draw_item ()
  {
    uint32_t age_ms = draw (4) > 0 ? draw (500) : draw (RETENTION_MS + 100);

    return { subject (draw (subjects)),
             1 + draw (targets),
             bd_poison_subject (BD_POISON_REQUEST, draw (REQUESTS)),
             1,
             age_ms + draw (draw (2) ? 100 : 1000),
             age_ms,
             draw (8) == 0 };
  }

  Evidence
  draw_items ()
  {
    Evidence items (1 + draw (MAX_ITEMS));

    for (auto &item : items)
      item = draw_item ();
    return items;
  }

  /* One crash that many subjects share; the same ones share others.  */
  Evidence
  draw_shared_crash ()
  {
    Evidence items (MAX_ITEMS / 2);
    unsigned first = draw (2) * MAX_ITEMS / 2;
    auto crash = draw_item ();

    for (unsigned i = 0; i < items.size (); i++)
      {
        items[i] = crash;
        items[i].subject = subject ((first + i) % subjects);
        items[i].sent_age_ms = crash.crash_age_ms + draw (10);
        items[i].is_cleared = false;
      }
    return items;
  }

  bool
  step ()
  {
    unsigned what = draw (10);

    if (what < 7)
      {
        auto items = draw (2) == 0 ? draw_shared_crash () : draw_items ();

        return bd_poison_add (&table, items.data (), items.size (), now_ms)
               == model.add (items, now_ms);
      }
    if (what < 9)
      {
        std::vector<uint64_t> ended (1 + draw (4));

        for (auto &each : ended)
          each = subject (draw (subjects));
        bd_poison_complete (&table, ended.data (), ended.size (), now_ms,
                            nullptr, 0);
        model.complete (ended, now_ms);
        return true;
      }
    what = 1 + draw (targets);
    bd_poison_withdraw_crash (&table, what);
    model.withdraw (what);
    return true;
  }

  bool
  agrees ()
  {
    for (unsigned i = 0; i < subjects; i++)
      {
        uint64_t each = subject (i);
        bool is_refused = bd_poison_blocked (&table, &each, 1, now_ms) != 0;

        blocked += is_refused;
        if (is_refused != model.is_refused (each, now_ms))
          return false;
      }
    return true;
  }
};

} // namespace

int
main ()
{
  bool is_ok = true;

  is_ok &= rc::check ("evidence in any order gives the same table", [] () {
    auto items = any_evidence (6, BD_POISON_MAX_EVIDENCE);
    auto shuffled = items;
    Table a;
    Table b;

    std::reverse (shuffled.begin (), shuffled.end ());
    for (const auto &item : items)
      bd_poison_add (&a.table, &item, 1, 10000);
    for (unsigned twice = 0; twice < 2; twice++)
      for (const auto &item : shuffled)
        bd_poison_add (&b.table, &item, 1, 10000);
    RC_ASSERT (bd_poison_checksum (&a.table, 10000)
               == bd_poison_checksum (&b.table, 10000));
  });

  is_ok &= rc::check ("two daemons stop exchanging evidence", [] () {
    Table a;
    Table b;
    bool is_news = true;

    add (a, any_evidence (3, 60), 10000);
    add (b, any_evidence (3, 60), 10000);
    for (unsigned i = 0; i < 2 * 60 && is_news; i++)
      {
        is_news = add (b, list (a, 10000), 10000);
        is_news = add (a, list (b, 10000), 10000) || is_news;
      }
    RC_ASSERT (!is_news);
  });

  is_ok &= rc::check ("cleared evidence stays cleared", [] () {
    auto items = any_evidence (4, BD_POISON_MAX_EVIDENCE);
    Table table;

    for (const auto &item : items)
      bd_poison_add (&table.table, &item, 1, 10000);
    for (const auto &item : items)
      {
        struct bd_poison_evidence cleared[BD_POISON_MAX_EVIDENCE];

        bd_poison_complete (&table.table, &item.subject, 1, 10000, cleared,
                            BD_POISON_MAX_EVIDENCE);
      }
    for (auto item : items)
      {
        item.is_cleared = false;
        bd_poison_add (&table.table, &item, 1, 10000);
        RC_ASSERT (bd_poison_decide (&table.table, &item.subject, 1, 10000)
                   == BD_POISON_ALLOW);
      }
  });

  is_ok &= rc::check ("endpoints that fail together block no part", [] () {
    auto targets = *rc::gen::inRange (1U, 30U);
    uint64_t shared = part (1);
    Table table;

    for (unsigned i = 0; i < targets; i++)
      {
        struct bd_poison_evidence item
            = { shared, i + 1, bd_poison_subject (BD_POISON_REQUEST, i),
                1,      500,   20,
                false };

        bd_poison_add (&table.table, &item, 1, 10000 + i);
      }
    RC_ASSERT (bd_poison_blocked (&table.table, &shared, 1, 10100) == 0);
  });

  is_ok &= rc::check ("the same subjects are blocked as by the model", [] () {
    Comparison comparison (*rc::gen::arbitrary<unsigned> (),
                           *rc::gen::inRange (1U, 100U),
                           *rc::gen::inRange (1U, 40U));

    RC_ASSERT (comparison.run (30));
    RC_CLASSIFY (comparison.blocked > 0, "blocked some");
  });

  is_ok &= rc::check ("a part that crashes endpoints is refused, and sound "
                      "requests that share others are served",
                      [] () {
                        Fleet fleet (*rc::gen::arbitrary<unsigned> ());

                        fleet.run ();
                        RC_ASSERT (fleet.crashes >= 3);
                        RC_ASSERT (fleet.bad_sent_late <= 3);
                        RC_ASSERT (fleet.sound_refused * 50 <= fleet.sound);
                      });
  return is_ok ? 0 : 1;
}
