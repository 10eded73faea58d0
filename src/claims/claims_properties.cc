/* Property: whatever happens to three daemons that commit to one shard, each
   key runs at most once.  */

#include <glib.h>
#include <jansson.h>

extern "C"
{
#include "claims/shard.h"
}

#include <cstdio>
#include <cstring>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

enum Event
{
  SUBMIT,
  RESOLVE, /* Load the shard, or prepare a batch.  */
  LAND,    /* The write reaches the platform.  */
  ANSWER,  /* Its answer reaches the daemon.  */
  LOSE,    /* Its answer is lost; it may still land.  */
  GIVE_UP, /* The oldest waiting call is told "not run".  */
  CRASH,
  EVENT_COUNT
};

struct Step
{
  int event;
  unsigned daemon;
  unsigned key;
  bool fails_before_sending;
};

void
showValue (const Step &s, std::ostream &os)
{
  os << "(" << s.event << "," << s.daemon << "," << s.key << ","
     << s.fails_before_sending << ")";
}

/* The platform: one object a slot.  */
struct Platform
{
  struct Object
  {
    int64_t version = 0;
    json_t *data = nullptr;
  };
  std::map<uint32_t, Object> slots;
  int64_t revision = 0;

  bool
  write (const struct bd_shard_commit &commit, int64_t *version)
  {
    Object &object = slots[commit.slot];
    if (object.version != commit.expected_version)
      return false;
    json_decref (object.data);
    object.data = json_deep_copy (commit.data);
    object.version = ++revision;
    *version = object.version;
    return true;
  }

  json_t *
  list () const
  {
    json_t *items = json_array ();
    for (const auto &[slot, object] : slots)
      {
        if (object.version == 0)
          continue;
        std::string key = "claims/0/" + std::to_string (slot);
        json_array_append_new (
            items, json_pack ("{s:s,s:I,s:{s:O}}", "key", key.c_str (),
                              "version", (json_int_t)object.version, "value",
                              "data", object.data));
      }
    return items;
  }

  ~Platform ()
  {
    for (auto &[slot, object] : slots)
      json_decref (object.data);
  }
};

struct Call
{
  struct bd_claim claim;
  unsigned key;
  bool fails_before_sending;
};

/* A write on its way.  */
struct Flight
{
  struct bd_shard_commit commit;
  std::vector<Call *> batch;
  bool has_landed = false;
  bool has_won = false;
  int64_t version = 0;
};

struct World;

struct Daemon
{
  struct bd_shard shard;
  std::deque<Call *> waiting;
  bool is_flying = false;
  Flight flight;
};

struct World
{
  Platform platform;
  Daemon daemons[3];
  std::vector<Flight> late; /* Lost by their daemon, may still land.  */
  std::vector<Call *> calls;
  std::map<unsigned, unsigned> runs;
  std::map<std::string, bool> told_not_run;
  std::map<std::string, bool> has_run;
  unsigned next_id = 0;

  World ()
  {
    for (Daemon &d : daemons)
      bd_shard_init (&d.shard, 0);
  }

  ~World ()
  {
    for (Daemon &d : daemons)
      {
        if (d.is_flying)
          json_decref (d.flight.commit.data);
        bd_shard_finish (&d.shard);
      }
    for (Flight &f : late)
      json_decref (f.commit.data);
    for (Call *c : calls)
      delete c;
  }

  Call *
  make (unsigned key, enum bd_claim_kind kind, const char *id)
  {
    Call *call = new Call ();
    call->key = key;
    call->claim.kind = kind;
    snprintf (call->claim.key, BD_ID_SIZE, "key-%u", key);
    if (id != nullptr)
      snprintf (call->claim.id, BD_ID_SIZE, "%s", id);
    else
      snprintf (call->claim.id, BD_ID_SIZE, "call-%u", next_id++);
    call->claim.hold_ms = 1000;
    call->claim.content_type = "";
    call->claim.body = "";
    call->claim.status = 200;
    calls.push_back (call);
    return call;
  }

  void
  granted (Daemon &d, Call *call)
  {
    if (call->claim.kind != BD_CLAIM_TAKE)
      return;
    RC_ASSERT (!told_not_run[call->claim.id]);
    if (call->fails_before_sending)
      {
        d.waiting.push_back (
            make (call->key, BD_CLAIM_RELEASE, call->claim.id));
        return;
      }
    has_run[call->claim.id] = true;
    runs[call->key]++;
    RC_ASSERT (runs[call->key] <= 1u);
    d.waiting.push_back (make (call->key, BD_CLAIM_FINISH, call->claim.id));
  }

  /* Answers from memory, and the rest into a batch.  */
  void
  gather (Daemon &d)
  {
    std::deque<Call *> waiting;
    waiting.swap (d.waiting);
    d.flight.batch.clear ();
    for (Call *call : waiting)
      {
        bool is_double = false;
        for (Call *other : d.flight.batch)
          is_double = is_double || other->key == call->key;
        if (bd_shard_answer (&d.shard, &call->claim, 0))
          {
            if (call->claim.result == BD_CLAIM_GRANTED)
              granted (d, call);
          }
        else if (is_double)
          d.waiting.push_back (call);
        else
          d.flight.batch.push_back (call);
      }
  }

  void
  resolve (Daemon &d)
  {
    if (d.is_flying)
      return;
    if (!d.shard.is_loaded)
      {
        json_t *items = platform.list ();
        bd_shard_load (&d.shard, items, 0);
        json_decref (items);
        return;
      }
    gather (d);
    if (d.flight.batch.empty ())
      return;
    std::vector<struct bd_claim *> claims;
    for (Call *call : d.flight.batch)
      claims.push_back (&call->claim);
    if (!bd_shard_prepare (&d.shard, claims.data (),
                           static_cast<uint32_t> (claims.size ()), 0,
                           &d.flight.commit))
      return;
    d.flight.has_landed = false;
    d.is_flying = true;
  }

  void
  land (Flight &f)
  {
    if (f.has_landed)
      return;
    f.has_landed = true;
    f.has_won = platform.write (f.commit, &f.version);
  }

  void
  putBack (Daemon &d)
  {
    for (auto it = d.flight.batch.rbegin (); it != d.flight.batch.rend ();
         ++it)
      d.waiting.push_front (*it);
    d.flight.batch.clear ();
  }

  void
  answer (Daemon &d)
  {
    if (!d.is_flying || !d.flight.has_landed)
      return;
    d.is_flying = false;
    if (!d.flight.has_won)
      {
        bd_shard_lost (&d.shard, &d.flight.commit);
        putBack (d);
        return;
      }
    std::vector<struct bd_claim *> claims;
    for (Call *call : d.flight.batch)
      claims.push_back (&call->claim);
    bd_shard_committed (&d.shard, &d.flight.commit, d.flight.version, nullptr,
                        claims.data (), static_cast<uint32_t> (claims.size ()),
                        0);
    std::vector<Call *> batch;
    batch.swap (d.flight.batch);
    for (Call *call : batch)
      granted (d, call);
  }

  void
  lose (Daemon &d)
  {
    if (!d.is_flying)
      return;
    d.is_flying = false;
    Flight f = d.flight;
    json_incref (f.commit.data);
    late.push_back (f);
    bd_shard_lost (&d.shard, &d.flight.commit);
    putBack (d);
  }

  void
  giveUp (Daemon &d)
  {
    if (d.waiting.empty () || d.waiting.front ()->claim.kind != BD_CLAIM_TAKE)
      return;
    Call *call = d.waiting.front ();
    d.waiting.pop_front ();
    RC_ASSERT (!has_run[call->claim.id]);
    told_not_run[call->claim.id] = true;
    /* The daemon frees the key, should the claim land yet.  */
    d.waiting.push_back (make (call->key, BD_CLAIM_RELEASE, call->claim.id));
  }

  void
  crash (Daemon &d)
  {
    if (d.is_flying)
      late.push_back (d.flight);
    d.is_flying = false;
    d.waiting.clear ();
    d.flight.batch.clear ();
    bd_shard_finish (&d.shard);
    bd_shard_init (&d.shard, 0);
  }

  void
  apply (const Step &step)
  {
    Daemon &d = daemons[step.daemon];
    switch (step.event)
      {
      case SUBMIT:
        {
          Call *call = make (step.key, BD_CLAIM_TAKE, nullptr);
          call->fails_before_sending = step.fails_before_sending;
          d.waiting.push_back (call);
          break;
        }
      case RESOLVE:
        resolve (d);
        break;
      case LAND:
        if (!late.empty () && step.key == 0)
          land (late[step.daemon % late.size ()]);
        else if (d.is_flying)
          land (d.flight);
        break;
      case ANSWER:
        answer (d);
        break;
      case LOSE:
        lose (d);
        break;
      case GIVE_UP:
        giveUp (d);
        break;
      case CRASH:
        crash (d);
        break;
      }
  }
};

rc::Gen<Step>
genStep ()
{
  return rc::gen::build<Step> (
      rc::gen::set (&Step::event,
                    rc::gen::weightedElement<int> ({ { 6, SUBMIT },
                                                     { 10, RESOLVE },
                                                     { 8, LAND },
                                                     { 8, ANSWER },
                                                     { 3, LOSE },
                                                     { 1, GIVE_UP },
                                                     { 1, CRASH } })),
      rc::gen::set (&Step::daemon, rc::gen::inRange (0u, 3u)),
      rc::gen::set (&Step::key, rc::gen::inRange (0u, 4u)),
      rc::gen::set (
          &Step::fails_before_sending,
          rc::gen::weightedElement<bool> ({ { 4, false }, { 1, true } })));
}

}

int
main ()
{
  bool is_good = rc::check ("each key runs at most once", [] {
    auto steps = *rc::gen::container<std::vector<Step> > (150, genStep ());
    World world;
    for (const Step &step : steps)
      world.apply (step);
  });

  return is_good ? 0 : 1;
}
