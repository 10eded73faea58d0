/* Properties of the list of endpoints at a daemon, from the store and its
   peers to the fleet: daemons follow a store that refuses them, loses replies,
   is away or is restored from a copy, while endpoints register, drain, leave,
   expire and come back.  */

#include <glib.h>

extern "C"
{
#include "directory/directory.h"
#include "fleet/fleet.h"
}

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

/* A complete list, or the changes that a watch returns.  */
struct Reply
{
  int64_t era = 0;
  int64_t revision = 0;
  std::vector<struct bd_directory_record> records;
};

struct Frame
{
  struct bd_directory_frame frame = {};
  std::vector<struct bd_directory_record> records;
  int64_t era = 0;
  int64_t age_ms = 0;  /* Of the sender's list.  */
  int64_t sent_ms = 0; /* When it was asked for.  */
};

enum
{
  /* Bounds.  */
  DRAIN_MS = 2000,
  CONTACT_MS = 3000
};

/* The list at one daemon.  Stands for edge/sync.c and the part of
   edge/freshness.c that takes replies.  */
class View
{
public:
  std::function<void (const struct bd_directory_record &)> observer;

  View ()
  {
    bd_fleet_init (&m_fleet);
    m_fleet.listing.drain_ms = DRAIN_MS;
    m_fleet.listing.contact_ms = CONTACT_MS;
  }
  ~View ()
  {
    bd_directory_finish (&m_directory);
    bd_fleet_finish (&m_fleet);
  }
  View (const View &) = delete;

  void
  start (uint64_t log, int64_t now_ms)
  {
    m_now_ms = now_ms;
    bd_directory_init (&m_directory, log, handle_change, this);
  }

  /* An attempt to read the list or the configuration, sent at sent_ms, has
     failed.  */
  void
  fail_attempt (int64_t sent_ms, int64_t now_ms)
  {
    m_now_ms = now_ms;
    bd_listing_note_failure (&m_fleet.listing, sent_ms);
  }

  void
  receive_config (int64_t now_ms)
  {
    m_now_ms = now_ms;
  }

  void
  receive_list (const Reply &reply, int64_t sent_ms, int64_t now_ms)
  {
    m_now_ms = now_ms;
    bd_directory_begin_list (&m_directory, reply.era, reply.revision);
    for (const auto &record : reply.records)
      bd_directory_put (&m_directory, &record.entry, record.era,
                        record.revision);
    bd_directory_end_list (&m_directory);
    bd_fleet_expire (&m_fleet, now_ms);
    note_list (sent_ms);
  }

  void
  receive_changes (const Reply &reply, int64_t now_ms)
  {
    m_now_ms = now_ms;
    if (!m_directory.is_complete)
      return;
    for (const auto &record : reply.records)
      if (record.is_removed)
        bd_directory_remove (&m_directory, record.entry.id, record.era,
                             record.revision);
      else
        bd_directory_put (&m_directory, &record.entry, record.era,
                          record.revision);
    note_list (0);
  }

  void
  receive_frame (const Frame &received, int64_t now_ms)
  {
    struct bd_directory_frame frame = received.frame;
    std::vector<struct bd_directory_record> records = received.records;

    m_now_ms = now_ms;
    frame.records = records.data ();
    if (bd_directory_apply (&m_directory, &frame))
      note_list (frame.is_last ? received.sent_ms - received.age_ms : 0);
  }

  /* The store was restored from a copy.  */
  void
  change_era (int64_t now_ms)
  {
    m_now_ms = now_ms;
    bd_fleet_mark_store_restored (&m_fleet, now_ms);
  }

  void
  tick (int64_t now_ms)
  {
    m_now_ms = now_ms;
    note_list (0);
  }

  bool
  fill (const struct bd_directory_position &position, Frame &out) const
  {
    out.records.resize (BD_DIRECTORY_FRAME_ENTRIES);
    if (!bd_directory_fill (&m_directory, &position, out.records.data (),
                            &out.frame))
      return false;
    out.records.resize (out.frame.record_count);
    return true;
  }

  struct bd_directory_position
  position () const
  {
    return m_directory.source;
  }

  int64_t
  verified_ms () const
  {
    return m_verified_ms;
  }

  bool
  is_listed (const char *id, int64_t now_ms) const
  {
    const struct bd_fleet_endpoint *endpoint
        = bd_fleet_endpoint (&m_fleet, id);

    (void)now_ms;
    return endpoint != NULL && endpoint->is_listed;
  }

  bool
  is_draining (const char *id, int64_t now_ms) const
  {
    (void)now_ms;
    return bd_fleet_endpoint (&m_fleet, id)->entry.is_draining;
  }

  /* When the incarnation started that is_listed() is about.  */
  int64_t
  started_ms (const char *id) const
  {
    return bd_fleet_endpoint (&m_fleet, id)->entry.started_ms;
  }

private:
  struct bd_fleet m_fleet;
  struct bd_directory m_directory = {};
  int64_t m_now_ms = 0;
  int64_t m_verified_ms = 0;

  static void
  handle_change (void *ctx, const struct bd_directory_record *record)
  {
    View *view = static_cast<View *> (ctx);

    if (record->is_removed && record->entry.is_draining)
      bd_fleet_mark_leaving (&view->m_fleet, record->entry.id,
                             record->entry.started_ms, view->m_now_ms);
    if (record->is_removed)
      bd_fleet_remove (&view->m_fleet, record->entry.id, view->m_now_ms);
    else
      bd_fleet_put (&view->m_fleet, &record->entry, view->m_now_ms);
    view->observer (*record);
  }

  static void
  ignore (void *ctx, const struct bd_fleet_endpoint *endpoint)
  {
    (void)ctx;
    (void)endpoint;
  }

  void
  note_list (int64_t verified_ms)
  {
    if (verified_ms > m_verified_ms)
      {
        m_verified_ms = verified_ms;
        bd_listing_note_verified (&m_fleet.listing, verified_ms, m_now_ms);
      }
    m_fleet.has_list = m_fleet.has_list || m_directory.is_complete;
    bd_fleet_update (&m_fleet, ignore, nullptr, m_now_ms);
    bd_fleet_refresh (&m_fleet);
  }
};

enum
{
  DAEMONS = 3,
  ENDPOINTS = 5,
  REGISTERED_FIRST = 3,
  STEP_MS = 20,
  TENTH_MS = 100,
  START_MS = 1000000,
  WARM_UP_MS = 3000,
  CALM_MS = 10000,
  /* Of the messages, and of the store's client.  */
  LATENCY_MS = 20,
  ATTEMPT_TIMEOUT_MS = 1000,
  CALL_TIMEOUT_MS = 1500,
  RETRY_MS = 100,
  WATCH_WAIT_MS = 4000,
  REPEATED_AFTER_MS = 200,
  /* Of the daemons.  */
  SYNC_PERIOD_MS = 100,
  READ_PERIOD_MS = 1000,
  ASK_PEER_AFTER_MS = 2200,
  ASK_PEER_PERIOD_MS = 250,
  FRESH_MS = 2000,
  MAX_UNANSWERED = 2,
  /* Of the endpoints.  */
  HEARTBEAT_MS = 1000,
  EXPIRY_MS = 3000,
  SET_BACK_MS = 1001, /* No multiple of STEP_MS.  */
  /* Bounds.  */
  SETTLE_MS = 2200,
  RELISTED_MS = 1500,
  FAILED_BEFORE_MS = 100,
  /* A daemon whose calls are answered reads a change within this time.  */
  PROPAGATION_MS = READ_PERIOD_MS + 2 * SYNC_PERIOD_MS,
  /* Age up to which a list was kept current: a reader asks a peer sooner.  */
  CURRENT_MS = 2500
};

enum Property
{
  IN_FORCE, /* An arrived removal or leave.  */
  SETTLED,
  NOT_UNDONE,
  AGREED,
  RETAINED
};

enum Kind
{
  WAIT,
  REGISTER, /* Also a restart under the same id.  */
  DRAIN,
  LEAVE,
  MUTE,    /* The heartbeats of an endpoint do not arrive.  */
  REFUSE,  /* The store refuses one daemon.  */
  SILENCE, /* The store does not answer one daemon.  */
  OUTAGE,  /* The store is away for everybody.  */
  LOSE,    /* The next reply of the store to a daemon is lost.  */
  HOLD,    /* The next message to a daemon is delayed.  */
  REPEAT,  /* The next frame to a daemon comes twice.  */
  CUT,     /* The next frames to a daemon are lost.  */
  FREEZE,
  COPY,
  RESTORE,
  KINDS
};

struct Step
{
  int kind;
  unsigned a;
  unsigned b; /* Duration, in tenths of a second.  */
  unsigned pause;
};

std::ostream &
operator<< (std::ostream &out, const Step &step)
{
  static const char *const names[KINDS]
      = { "wait",   "register", "drain",  "leave", "mute",
          "refuse", "silence",  "outage", "lose",  "hold",
          "repeat", "cut",      "freeze", "copy",  "restore" };

  return out << names[step.kind] << " (" << step.a << ", " << step.b
             << "), pause " << step.pause;
}

struct Stored
{
  struct bd_endpoint_entry entry;
  int64_t revision;
  int64_t expires_ms;
};

struct Contents
{
  std::map<int, Stored> entries;
  int64_t revision = 1;
};

struct Endpoint
{
  bool is_alive = false;
  bool is_draining = false;
  int64_t started_ms = 0;
  int64_t heartbeats = 0;
  int64_t next_ms = 0;
  int64_t muted_until_ms = 0;
};

enum Message_kind
{
  LIST,
  CONFIG,
  CHANGES,
  FRAME
};

struct Message
{
  Message_kind kind;
  int to;
  int64_t due_ms;
  int64_t sent_ms; /* Of the request.  */
  uint64_t call;
  bool is_refused;
  Reply reply;
  Frame frame;
};

/* A read of the store's client, which repeats attempts that fail.  */
struct Call
{
  uint64_t id = 0; /* 0: none.  */
  bool is_in_flight = false;
  int64_t started_ms = 0;
  int64_t sent_ms = 0;
  int64_t retry_ms = 0;
};

struct Watch
{
  uint64_t id = 0; /* 0: none.  */
  bool is_answered = false;
  int64_t since = 0;
  int64_t era = 0;
  int64_t sent_ms = 0;
};

struct Daemon
{
  View view;
  int64_t era = 1;
  Call calls[2]; /* By Message_kind.  */
  Watch watch;
  int64_t watch_revision = 0;
  int64_t next_tick_ms = 0;
  int64_t asked_ms = 0;
  int peer = 0;
  int unanswered = 0;

  /* Faults.  */
  int64_t refused_until_ms = 0;
  int64_t silent_until_ms = 0;
  int64_t frozen_until_ms = 0;
  int64_t hold_ms = 0;
  unsigned lost = 0;
  unsigned cut = 0;
  bool is_repeated = false;

  /* What it has got.  */
  /* The store was sound for CONTACT_MS, and the list kept current, until this
     message.  */
  bool is_current = false;
  int64_t failed_sent_ms = 0; /* Last attempt of the last failed read.  */
  int64_t calm_list_ms = 0;   /* Its first list without faults; 0: none.  */
  std::map<int, int64_t> unusable_since_ms;
  std::map<std::pair<int, int64_t>, int64_t> drained_ms;
  /* Entries that it listed when they expired in an outage, and whether they
     have counted as gone since.  */
  std::map<int, bool> expired;
};

struct World
{
  Property property;
  std::string failure;
  int64_t now_ms = START_MS;
  Contents store;
  std::vector<struct bd_directory_record> history;
  std::vector<Contents> copies;
  int64_t era = 1;
  int64_t restored_ms = 0;
  bool is_away = false;
  bool is_away_silent = false;
  bool can_expire_away = true;
  bool returns_after_failure = false;
  int64_t away_since_ms = 0;
  int64_t away_until_ms = 0;
  int64_t returned_ms = 0;
  int64_t faults_ended_ms = 0; /* 0: not yet.  */
  std::map<int, int64_t> changed_ms;
  std::map<int, int64_t> relisted_ms;
  Endpoint endpoints[ENDPOINTS];
  Daemon daemons[DAEMONS];
  std::vector<Message> messages;
  uint64_t next_call = 1;

  explicit World (Property checked) : property (checked)
  {
    for (int i = 0; i < DAEMONS; i++)
      {
        daemons[i].view.observer
            = [this, i] (const struct bd_directory_record &record) {
                observe (i, record);
              };
        daemons[i].view.start (static_cast<uint64_t> (i) + 1, now_ms);
        daemons[i].peer = (i + 1) % DAEMONS;
      }
    for (int i = 0; i < REGISTERED_FIRST; i++)
      start_endpoint (i);
    run (WARM_UP_MS);
  }

  static std::string
  name_of (int endpoint)
  {
    return "i-" + std::to_string (endpoint);
  }

  static int
  index_of (const struct bd_directory_record &record)
  {
    return record.entry.id[2] - '0';
  }

  void
  fail (Property broken, int daemon, int endpoint, const char *what)
  {
    if (property == broken && failure.empty ())
      failure = "daemon " + std::to_string (daemon) + ", " + name_of (endpoint)
                + " " + what + " at " + std::to_string (now_ms - START_MS)
                + " ms";
  }

  /* The store.  */

  void
  publish (int index, const struct bd_endpoint_entry &entry, bool is_removed)
  {
    struct bd_directory_record record = {};

    record.entry = entry;
    record.era = era;
    record.revision = ++store.revision;
    record.is_removed = is_removed;
    history.push_back (record);
    changed_ms[index] = now_ms;
  }

  void
  write (int index)
  {
    const Endpoint &endpoint = endpoints[index];
    auto found = store.entries.find (index);
    bool is_listed = found != store.entries.end ();
    struct bd_endpoint_entry entry = {};
    int64_t revision;

    bd_name_copy (entry.id, name_of (index).c_str ());
    bd_name_copy (entry.service, "s");
    entry.slots = 1;
    entry.is_draining = endpoint.is_draining;
    entry.started_ms = endpoint.started_ms;
    entry.heartbeats = endpoint.heartbeats;
    if (is_listed && found->second.entry.is_draining == entry.is_draining
        && found->second.entry.started_ms == entry.started_ms)
      revision = found->second.revision;
    else
      {
        publish (index, entry, false);
        revision = store.revision;
      }
    if (!is_listed)
      relisted_ms[index] = now_ms;
    store.entries[index] = { entry, revision, now_ms + EXPIRY_MS };
  }

  void
  erase (int index)
  {
    auto found = store.entries.find (index);
    struct bd_endpoint_entry entry;

    if (found == store.entries.end ())
      return;
    entry = found->second.entry;
    store.entries.erase (found);
    publish (index, entry, true);
  }

  /* The last heartbeat before the outage was on time.  */
  bool
  has_expired_by_outage (int index, const Stored &stored) const
  {
    const Endpoint &endpoint = endpoints[index];

    return (is_away || returned_ms == now_ms) && endpoint.is_alive
           && endpoint.muted_until_ms <= away_since_ms
           && endpoint.started_ms == stored.entry.started_ms
           && stored.expires_ms >= away_since_ms + EXPIRY_MS - HEARTBEAT_MS;
  }

  void
  run_store ()
  {
    if (is_away && now_ms >= away_until_ms && !returns_after_failure)
      return_store ();
    if (is_away && !can_expire_away)
      return;
    for (int i = 0; i < ENDPOINTS; i++)
      {
        auto found = store.entries.find (i);

        if (found == store.entries.end () || found->second.expires_ms > now_ms)
          continue;
        if (has_expired_by_outage (i, found->second))
          for (auto &daemon : daemons)
            if (daemon.view.is_listed (name_of (i).c_str (), now_ms))
              daemon.expired[i] = false;
        erase (i);
      }
  }

  void
  return_store ()
  {
    is_away = false;
    returns_after_failure = false;
    returned_ms = now_ms;
  }

  void
  restore (unsigned copy)
  {
    store = copies[copy % copies.size ()];
    era++;
    restored_ms = now_ms;
    history.clear ();
    for (auto &item : store.entries)
      item.second.expires_ms = now_ms + EXPIRY_MS;
    for (int i = 0; i < ENDPOINTS; i++)
      changed_ms[i] = now_ms;
    for (auto &daemon : daemons)
      daemon.expired.clear ();
  }

  Reply
  list () const
  {
    Reply reply;

    reply.era = era;
    reply.revision = store.revision;
    for (const auto &item : store.entries)
      {
        struct bd_directory_record record = {};

        record.entry = item.second.entry;
        record.era = era;
        record.revision = item.second.revision;
        reply.records.push_back (record);
      }
    return reply;
  }

  /* The endpoints.  */

  void
  start_endpoint (int index)
  {
    Endpoint &endpoint = endpoints[index];
    int64_t before_ms = endpoint.started_ms;

    endpoint = Endpoint ();
    endpoint.is_alive = true;
    /* On each second start of an endpoint its clock has been set back.  */
    endpoint.started_ms = before_ms > 0 && before_ms % STEP_MS == 0
                              ? before_ms - SET_BACK_MS
                              : std::max (now_ms, before_ms + 1);
    endpoint.next_ms = now_ms;
    for (auto &daemon : daemons)
      daemon.expired.erase (index);
  }

  void
  run_endpoints ()
  {
    for (int i = 0; i < ENDPOINTS; i++)
      {
        Endpoint &endpoint = endpoints[i];

        if (!endpoint.is_alive || now_ms < endpoint.next_ms)
          continue;
        endpoint.heartbeats++;
        endpoint.next_ms = now_ms + HEARTBEAT_MS;
        if (!is_away && now_ms >= endpoint.muted_until_ms)
          write (i);
      }
  }

  void
  drain (int index, bool is_counted)
  {
    Endpoint &endpoint = endpoints[index];

    if (!endpoint.is_alive)
      return;
    endpoint.is_draining = true;
    endpoint.heartbeats += is_counted;
    if (!is_away && now_ms >= endpoint.muted_until_ms)
      write (index);
  }

  void
  leave (int index)
  {
    if (!endpoints[index].is_alive)
      return;
    endpoints[index].is_alive = false;
    if (!is_away)
      erase (index);
  }

  /* Calls and messages.  */

  void
  send (Message &message)
  {
    Daemon &to = daemons[message.to];

    message.due_ms = now_ms + LATENCY_MS + to.hold_ms;
    to.hold_ms = 0;
    messages.push_back (message);
  }

  bool
  is_refused (const Daemon &daemon) const
  {
    return (is_away && !is_away_silent) || now_ms < daemon.refused_until_ms;
  }

  bool
  is_unanswered (Daemon &daemon)
  {
    if ((is_away && is_away_silent) || now_ms < daemon.silent_until_ms)
      return true;
    if (daemon.lost == 0)
      return false;
    daemon.lost--;
    return true;
  }

  void
  attempt_read (int index, Message_kind kind)
  {
    Daemon &daemon = daemons[index];
    Call &call = daemon.calls[kind];
    Message message = {};

    call.is_in_flight = true;
    call.sent_ms = now_ms;
    message.kind = kind;
    message.to = index;
    message.sent_ms = now_ms;
    message.call = call.id;
    message.is_refused = is_refused (daemon);
    message.reply = list ();
    if (!is_unanswered (daemon))
      send (message);
  }

  void
  end_attempt (Daemon &daemon, Call &call)
  {
    daemon.view.fail_attempt (call.sent_ms, now_ms);
    call.is_in_flight = false;
    call.retry_ms = now_ms + RETRY_MS;
  }

  void
  run_call (int index, Message_kind kind)
  {
    Daemon &daemon = daemons[index];
    Call &call = daemon.calls[kind];

    if (call.id != 0 && call.is_in_flight
        && now_ms - call.sent_ms >= ATTEMPT_TIMEOUT_MS)
      end_attempt (daemon, call);
    if (call.id == 0 || call.is_in_flight)
      return;
    if (now_ms - call.started_ms < CALL_TIMEOUT_MS)
      {
        if (now_ms >= call.retry_ms)
          attempt_read (index, kind);
        return;
      }
    call.id = 0;
    daemon.failed_sent_ms = call.sent_ms;
    daemon.view.fail_attempt (call.sent_ms, now_ms);
    if (is_away && returns_after_failure && now_ms >= away_until_ms)
      return_store ();
  }

  void
  start_call (int index, Message_kind kind)
  {
    Call &call = daemons[index].calls[kind];

    if (call.id != 0 || now_ms - call.started_ms < READ_PERIOD_MS)
      return;
    call = Call ();
    call.id = next_call++;
    call.started_ms = now_ms;
    attempt_read (index, kind);
  }

  void
  start_watch (Daemon &daemon)
  {
    if (daemon.watch.id != 0 || daemon.watch_revision == 0)
      return;
    daemon.watch.id = next_call++;
    daemon.watch.is_answered = false;
    daemon.watch.since = daemon.watch_revision;
    daemon.watch.era = daemon.era;
    daemon.watch.sent_ms = now_ms;
  }

  void
  answer_watch (int index)
  {
    Daemon &daemon = daemons[index];
    Watch &watch = daemon.watch;
    Message message = {};

    if (watch.id == 0 || watch.is_answered)
      return;
    message.kind = CHANGES;
    message.to = index;
    message.call = watch.id;
    message.reply.era = era;
    message.reply.revision = store.revision;
    message.is_refused = is_refused (daemon);
    if (!message.is_refused && watch.era == era)
      {
        for (const auto &record : history)
          if (record.revision > watch.since)
            message.reply.records.push_back (record);
        if (message.reply.records.empty ()
            && now_ms - watch.sent_ms < WATCH_WAIT_MS)
          return;
      }
    message.is_refused = is_unanswered (daemon) || message.is_refused;
    watch.is_answered = true;
    send (message);
  }

  void
  ask_peer (int index)
  {
    Daemon &daemon = daemons[index];
    Message message = {};

    if (now_ms - daemon.view.verified_ms () < ASK_PEER_AFTER_MS
        || now_ms - daemon.asked_ms < ASK_PEER_PERIOD_MS)
      return;
    if (daemon.unanswered >= MAX_UNANSWERED)
      {
        daemon.unanswered = 0;
        do
          daemon.peer = (daemon.peer + 1) % DAEMONS;
        while (daemon.peer == index);
      }
    daemon.asked_ms = now_ms;
    daemon.unanswered++;
    message.kind = FRAME;
    message.to = index;
    if (now_ms < daemons[daemon.peer].frozen_until_ms
        || !daemons[daemon.peer].view.fill (daemon.view.position (),
                                            message.frame))
      return;
    message.frame.era = daemons[daemon.peer].era;
    message.frame.sent_ms = now_ms;
    message.frame.age_ms = now_ms - daemons[daemon.peer].view.verified_ms ();
    if (daemon.cut > 0)
      {
        daemon.cut--;
        return;
      }
    send (message);
    if (!daemon.is_repeated)
      return;
    daemon.is_repeated = false;
    message.due_ms += REPEATED_AFTER_MS;
    messages.push_back (message);
  }

  void
  change_era (Daemon &daemon, int64_t seen)
  {
    if (seen <= daemon.era)
      return;
    daemon.era = seen;
    daemon.watch_revision = 0;
    daemon.view.change_era (now_ms);
  }

  void
  note_draining (Daemon &daemon, const Reply &reply)
  {
    for (const auto &record : reply.records)
      if (record.entry.is_draining)
        daemon.drained_ms.insert (
            { { index_of (record), record.entry.started_ms }, now_ms });
  }

  void
  receive_read (const Message &message)
  {
    Daemon &daemon = daemons[message.to];
    Call &call = daemon.calls[message.kind];

    if (message.call != call.id)
      return;
    if (!message.is_refused)
      change_era (daemon, message.reply.era);
    if (message.is_refused || message.reply.era < daemon.era)
      {
        end_attempt (daemon, call);
        return;
      }
    call.id = 0;
    if (message.kind == CONFIG)
      {
        daemon.view.receive_config (now_ms);
        return;
      }
    note_draining (daemon, message.reply);
    daemon.view.receive_list (message.reply, message.sent_ms, now_ms);
    if (daemon.watch.id == 0)
      daemon.watch_revision = message.reply.revision;
    if (faults_ended_ms != 0 && daemon.calm_list_ms == 0
        && message.sent_ms >= faults_ended_ms)
      daemon.calm_list_ms = now_ms;
  }

  void
  receive_changes (const Message &message)
  {
    Daemon &daemon = daemons[message.to];
    int64_t era_before = daemon.watch.era;

    if (message.call != daemon.watch.id)
      return;
    daemon.watch.id = 0;
    if (!message.is_refused)
      change_era (daemon, message.reply.era);
    daemon.watch_revision = 0;
    if (message.is_refused || message.reply.era != era_before
        || message.reply.era != daemon.era)
      return;
    daemon.watch_revision = message.reply.revision;
    note_draining (daemon, message.reply);
    daemon.view.receive_changes (message.reply, now_ms);
  }

  void
  receive_frame (const Message &message)
  {
    Daemon &daemon = daemons[message.to];

    change_era (daemon, message.frame.era);
    if (message.frame.era < daemon.era)
      return;
    if (message.frame.age_ms < FRESH_MS)
      daemon.unanswered = 0;
    daemon.view.receive_frame (message.frame, now_ms);
  }

  void
  deliver (const Message &message)
  {
    Daemon &daemon = daemons[message.to];
    int64_t verified_ms = daemon.view.verified_ms ();

    daemon.is_current = now_ms - verified_ms <= CURRENT_MS && !is_away
                        && returned_ms <= verified_ms
                        && restored_ms <= verified_ms
                        && now_ms - returned_ms >= CONTACT_MS
                        && now_ms - restored_ms >= CONTACT_MS;
    if (message.kind == FRAME)
      receive_frame (message);
    else if (message.kind == CHANGES)
      receive_changes (message);
    else
      receive_read (message);
  }

  void
  run_messages ()
  {
    std::vector<Message> due;
    auto is_due = [this] (const Message &message) {
      return message.due_ms <= now_ms
             && now_ms >= daemons[message.to].frozen_until_ms;
    };

    std::copy_if (messages.begin (), messages.end (), std::back_inserter (due),
                  is_due);
    messages.erase (
        std::remove_if (messages.begin (), messages.end (), is_due),
        messages.end ());
    std::stable_sort (due.begin (), due.end (),
                      [] (const Message &a, const Message &b) {
                        return a.due_ms < b.due_ms;
                      });
    for (const auto &message : due)
      deliver (message);
  }

  void
  run_daemon (int index)
  {
    Daemon &daemon = daemons[index];

    run_call (index, LIST);
    run_call (index, CONFIG);
    if (now_ms >= daemon.next_tick_ms)
      {
        daemon.next_tick_ms = now_ms + SYNC_PERIOD_MS;
        start_call (index, CONFIG);
        start_call (index, LIST);
        daemon.view.tick (now_ms);
        start_watch (daemon);
        ask_peer (index);
      }
    answer_watch (index);
  }

  /* Checks.  */

  bool
  is_usable (int daemon, int endpoint) const
  {
    std::string name = name_of (endpoint);
    const View &view = daemons[daemon].view;

    return view.is_listed (name.c_str (), now_ms)
           && !view.is_draining (name.c_str (), now_ms);
  }

  /* Called for each change of a daemon's directory.  */
  void
  observe (int index, const struct bd_directory_record &record)
  {
    Daemon &daemon = daemons[index];
    int endpoint = index_of (record);
    auto expired = daemon.expired.find (endpoint);

    if (record.entry.is_draining)
      daemon.drained_ms.insert (
          { { endpoint, record.entry.started_ms }, now_ms });
    if (!record.is_removed && !record.entry.is_draining)
      daemon.unusable_since_ms.erase (endpoint);
    else if (daemon.is_current)
      daemon.unusable_since_ms.insert ({ endpoint, now_ms });
    if (record.is_removed || expired == daemon.expired.end ())
      return;
    if (expired->second && relisted_ms[endpoint] <= returned_ms + RELISTED_MS
        && now_ms <= returned_ms + DRAIN_MS - FAILED_BEFORE_MS
        && daemon.failed_sent_ms < returned_ms
        && daemon.failed_sent_ms >= returned_ms - FAILED_BEFORE_MS)
      fail (RETAINED, index, endpoint, "counted as gone until listed again,");
    daemon.expired.erase (expired);
  }

  void
  check_daemon (int index)
  {
    Daemon &daemon = daemons[index];

    for (const auto &item : daemon.unusable_since_ms)
      if (now_ms >= item.second + DRAIN_MS && is_usable (index, item.first))
        fail (IN_FORCE, index, item.first, "is usable after it has left");
    for (const auto &item : daemon.drained_ms)
      if (now_ms >= item.second + DRAIN_MS
          && is_usable (index, item.first.first)
          && daemon.view.started_ms (name_of (item.first.first).c_str ())
                 == item.first.second)
        fail (NOT_UNDONE, index, item.first.first,
              "is usable after it was draining");
    for (auto &item : daemon.expired)
      if (!daemon.view.is_listed (name_of (item.first).c_str (), now_ms))
        item.second = true;
  }

  bool
  is_settled (const Daemon &daemon, int endpoint)
  {
    return daemon.calm_list_ms != 0
           && now_ms >= daemon.calm_list_ms + SETTLE_MS
           && now_ms >= changed_ms[endpoint] + PROPAGATION_MS + SETTLE_MS;
  }

  void
  check_settled (int index, int endpoint)
  {
    auto stored = store.entries.find (endpoint);
    std::string name = name_of (endpoint);
    const View &view = daemons[index].view;
    bool is_listed = view.is_listed (name.c_str (), now_ms);

    if (is_listed && stored == store.entries.end ())
      fail (SETTLED, index, endpoint, "is listed and not in the store");
    if (!is_listed && stored != store.entries.end ())
      fail (SETTLED, index, endpoint, "is in the store and not listed");
    if (is_listed && stored != store.entries.end ()
        && stored->second.entry.is_draining
               != view.is_draining (name.c_str (), now_ms))
      fail (SETTLED, index, endpoint, "is draining on one side only");
  }

  void
  check_agreed (int index, int endpoint)
  {
    std::string name = name_of (endpoint);

    if (daemons[index].view.is_listed (name.c_str (), now_ms)
            != daemons[0].view.is_listed (name.c_str (), now_ms)
        || is_usable (index, endpoint) != is_usable (0, endpoint))
      fail (AGREED, index, endpoint, "is another than at daemon 0");
  }

  void
  check ()
  {
    for (int i = 0; i < DAEMONS; i++)
      {
        if (now_ms < daemons[i].frozen_until_ms)
          continue;
        check_daemon (i);
        for (int j = 0; j < ENDPOINTS; j++)
          {
            if (is_settled (daemons[i], j))
              check_settled (i, j);
            if (is_settled (daemons[i], j) && is_settled (daemons[0], j))
              check_agreed (i, j);
          }
      }
  }

  void
  run (int64_t duration_ms)
  {
    for (int64_t end_ms = now_ms + duration_ms; now_ms < end_ms;)
      {
        now_ms += STEP_MS;
        run_store ();
        run_endpoints ();
        run_messages ();
        for (int i = 0; i < DAEMONS; i++)
          if (now_ms >= daemons[i].frozen_until_ms)
            run_daemon (i);
        check ();
      }
  }

  void
  begin_outage (const Step &step)
  {
    if (is_away)
      return;
    is_away = true;
    /* What had no time to be listed again.  */
    for (auto &daemon : daemons)
      daemon.expired.clear ();
    is_away_silent = step.a % 2 == 1;
    can_expire_away = step.a / 2 % 2 == 0;
    returns_after_failure = step.a / 4 % 2 == 1;
    away_since_ms = now_ms;
    away_until_ms = now_ms + step.b * TENTH_MS;
  }

  void
  apply (const Step &step)
  {
    int endpoint = static_cast<int> (step.a % ENDPOINTS);
    Daemon &daemon = daemons[step.a % DAEMONS];
    int64_t until_ms = now_ms + step.b * TENTH_MS;

    switch (step.kind)
      {
      case REGISTER:
        if (!endpoints[endpoint].is_alive || step.b % 2 == 0)
          start_endpoint (endpoint);
        break;
      case DRAIN:
        drain (endpoint, step.b % 2 == 0);
        break;
      case LEAVE:
        leave (endpoint);
        break;
      case MUTE:
        endpoints[endpoint].muted_until_ms = until_ms;
        break;
      case REFUSE:
        daemon.refused_until_ms = until_ms;
        break;
      case SILENCE:
        daemon.silent_until_ms = until_ms;
        break;
      case OUTAGE:
        begin_outage (step);
        break;
      case LOSE:
        daemon.lost++;
        break;
      case HOLD:
        daemon.hold_ms = step.b * TENTH_MS;
        break;
      case REPEAT:
        daemon.is_repeated = true;
        break;
      case CUT:
        daemon.cut += step.b % 8;
        break;
      case FREEZE:
        daemon.frozen_until_ms = until_ms;
        break;
      case COPY:
        copies.push_back (store);
        break;
      case RESTORE:
        if (!copies.empty ())
          restore (step.b);
        break;
      }
    run (step.pause * TENTH_MS);
  }

  void
  end_faults ()
  {
    if (is_away)
      return_store ();
    for (auto &endpoint : endpoints)
      endpoint.muted_until_ms = 0;
    for (auto &daemon : daemons)
      {
        daemon.refused_until_ms = 0;
        daemon.silent_until_ms = 0;
        daemon.frozen_until_ms = 0;
        daemon.hold_ms = 0;
        daemon.lost = 0;
        daemon.cut = 0;
        daemon.is_repeated = false;
      }
    for (auto &message : messages)
      message.due_ms = std::min<int64_t> (message.due_ms, now_ms);
    faults_ended_ms = now_ms;
  }
};

rc::Gen<std::vector<Step> >
steps ()
{
  return rc::gen::container<std::vector<Step> > (rc::gen::build<Step> (
      rc::gen::set (&Step::kind, rc::gen::inRange<int> (WAIT, KINDS)),
      rc::gen::set (&Step::a, rc::gen::inRange (0U, 60U)),
      rc::gen::set (&Step::b, rc::gen::inRange (0U, 80U)),
      rc::gen::set (&Step::pause, rc::gen::inRange (0U, 15U))));
}

bool
holds (Property property, const char *description)
{
  return rc::check (description, [property] () {
    auto world = std::make_unique<World> (property);
    auto drawn = *steps ();

    for (const auto &step : drawn)
      world->apply (step);
    world->end_faults ();
    world->run (CALM_MS);
    if (!world->failure.empty ())
      RC_FAIL (world->failure);
  });
}

} // namespace

int
main ()
{
  bool is_ok = true;

  is_ok = holds (IN_FORCE, "an endpoint that has left, by a list kept "
                           "current, is not usable after DrainMs")
          && is_ok;
  is_ok = holds (SETTLED, "without faults, the endpoints become those of the "
                          "store")
          && is_ok;
  is_ok = holds (NOT_UNDONE,
                 "an incarnation that was draining is not usable again")
          && is_ok;
  is_ok = holds (AGREED, "daemons with the same facts agree") && is_ok;
  is_ok = holds (RETAINED, "an entry that is listed again soon after an "
                           "outage never counts as gone")
          && is_ok;
  return is_ok ? 0 : 1;
}
