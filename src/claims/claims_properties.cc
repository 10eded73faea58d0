/* Property: each key runs at most once while three daemons commit to one
   shard, with lost replies, late writes and crashes.  */

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
  RESOLVE,       /* Load the shard, or prepare a batch.  */
  APPLY_WRITE,   /* The platform applies the write.  */
  DELIVER_REPLY, /* The reply reaches the daemon.  */
  LOSE_REPLY,    /* The reply is lost; the write may still be applied.  */
  GIVE_UP,       /* The oldest waiting call is refused as "not run".  */
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

/* The platform, with one object per slot.  */
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

/* A write whose reply the daemon has not received.  */
struct PendingWrite
{
  struct bd_shard_commit commit;
  std::vector<Call *> batch;
  bool is_applied = false;
  bool is_accepted = false;
  int64_t version = 0;
};

struct World;

struct Daemon
{
  struct bd_shard shard;
  std::deque<Call *> waiting;
  bool is_writing = false;
  PendingWrite pending;
};

struct World
{
  Platform platform;
  Daemon daemons[3];
  /* Writes whose daemon crashed or lost the reply; may still be applied.  */
  std::vector<PendingWrite> orphaned_writes;
  std::vector<Call *> calls;
  std::map<unsigned, unsigned> runs;
  std::map<std::string, bool> reported_not_run;
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
        if (d.is_writing)
          json_decref (d.pending.commit.data);
        bd_shard_finish (&d.shard);
      }
    for (PendingWrite &write : orphaned_writes)
      json_decref (write.commit.data);
    for (Call *c : calls)
      delete c;
  }

  Call *
  newCall (unsigned key, enum bd_claim_kind kind, const char *id)
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
  handleGranted (Daemon &d, Call *call)
  {
    if (call->claim.kind != BD_CLAIM_TAKE)
      return;
    RC_ASSERT (!reported_not_run[call->claim.id]);
    if (call->fails_before_sending)
      {
        d.waiting.push_back (
            newCall (call->key, BD_CLAIM_RELEASE, call->claim.id));
        return;
      }
    has_run[call->claim.id] = true;
    runs[call->key]++;
    RC_ASSERT (runs[call->key] <= 1u);
    d.waiting.push_back (newCall (call->key, BD_CLAIM_FINISH, call->claim.id));
  }

  /* Resolves claims from memory and puts the others into a batch.  */
  void
  buildBatch (Daemon &d)
  {
    std::deque<Call *> waiting;
    waiting.swap (d.waiting);
    d.pending.batch.clear ();
    for (Call *call : waiting)
      {
        bool is_duplicate = false;
        for (Call *other : d.pending.batch)
          is_duplicate = is_duplicate || other->key == call->key;
        if (bd_shard_resolve (&d.shard, &call->claim, 0))
          {
            if (call->claim.result == BD_CLAIM_GRANTED)
              handleGranted (d, call);
          }
        else if (is_duplicate)
          d.waiting.push_back (call);
        else
          d.pending.batch.push_back (call);
      }
  }

  void
  loadOrCommit (Daemon &d)
  {
    if (d.is_writing)
      return;
    if (!d.shard.is_loaded)
      {
        json_t *items = platform.list ();
        bd_shard_load (&d.shard, items, 0);
        json_decref (items);
        return;
      }
    buildBatch (d);
    if (d.pending.batch.empty ())
      return;
    std::vector<struct bd_claim *> claims;
    for (Call *call : d.pending.batch)
      claims.push_back (&call->claim);
    if (!bd_shard_prepare (&d.shard, claims.data (),
                           static_cast<uint32_t> (claims.size ()), 0,
                           &d.pending.commit))
      return;
    d.pending.is_applied = false;
    d.is_writing = true;
  }

  void
  applyWrite (PendingWrite &write)
  {
    if (write.is_applied)
      return;
    write.is_applied = true;
    write.is_accepted = platform.write (write.commit, &write.version);
  }

  void
  requeueBatch (Daemon &d)
  {
    for (auto it = d.pending.batch.rbegin (); it != d.pending.batch.rend ();
         ++it)
      d.waiting.push_front (*it);
    d.pending.batch.clear ();
  }

  void
  deliverReply (Daemon &d)
  {
    if (!d.is_writing || !d.pending.is_applied)
      return;
    d.is_writing = false;
    if (!d.pending.is_accepted)
      {
        bd_shard_conflict (&d.shard, &d.pending.commit);
        requeueBatch (d);
        return;
      }
    std::vector<struct bd_claim *> claims;
    for (Call *call : d.pending.batch)
      claims.push_back (&call->claim);
    bd_shard_committed (&d.shard, &d.pending.commit, d.pending.version,
                        nullptr, claims.data (),
                        static_cast<uint32_t> (claims.size ()), 0);
    std::vector<Call *> batch;
    batch.swap (d.pending.batch);
    for (Call *call : batch)
      handleGranted (d, call);
  }

  void
  loseReply (Daemon &d)
  {
    if (!d.is_writing)
      return;
    d.is_writing = false;
    PendingWrite write = d.pending;
    json_incref (write.commit.data);
    orphaned_writes.push_back (write);
    bd_shard_conflict (&d.shard, &d.pending.commit);
    requeueBatch (d);
  }

  void
  giveUp (Daemon &d)
  {
    if (d.waiting.empty () || d.waiting.front ()->claim.kind != BD_CLAIM_TAKE)
      return;
    Call *call = d.waiting.front ();
    d.waiting.pop_front ();
    RC_ASSERT (!has_run[call->claim.id]);
    reported_not_run[call->claim.id] = true;
    /* The daemon releases the key in case the claim is applied later.  */
    d.waiting.push_back (
        newCall (call->key, BD_CLAIM_RELEASE, call->claim.id));
  }

  void
  crash (Daemon &d)
  {
    if (d.is_writing)
      orphaned_writes.push_back (d.pending);
    d.is_writing = false;
    d.waiting.clear ();
    d.pending.batch.clear ();
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
          Call *call = newCall (step.key, BD_CLAIM_TAKE, nullptr);
          call->fails_before_sending = step.fails_before_sending;
          d.waiting.push_back (call);
          break;
        }
      case RESOLVE:
        loadOrCommit (d);
        break;
      case APPLY_WRITE:
        if (!orphaned_writes.empty () && step.key == 0)
          applyWrite (orphaned_writes[step.daemon % orphaned_writes.size ()]);
        else if (d.is_writing)
          applyWrite (d.pending);
        break;
      case DELIVER_REPLY:
        deliverReply (d);
        break;
      case LOSE_REPLY:
        loseReply (d);
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
                                                     { 8, APPLY_WRITE },
                                                     { 8, DELIVER_REPLY },
                                                     { 3, LOSE_REPLY },
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
  bool has_passed = rc::check ("each key runs at most once", [] {
    auto steps = *rc::gen::container<std::vector<Step> > (150, genStep ());
    World world;
    for (const Step &step : steps)
      world.apply (step);
  });

  return has_passed ? 0 : 1;
}
