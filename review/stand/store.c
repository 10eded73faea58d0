/* The platform's store and the operator's API.  */

#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  MAX_OBJECTS = 256,
  MAX_EVENTS = 20000
};

struct object
{
  char kind[NAME];
  char name[NAME];
  json_t *value; /* Metadata, Spec, Status.  */
};

struct event
{
  int64_t revision;
  char kind[NAME];
  json_t *value;
  bool is_deleted;
};

static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct object objects[MAX_OBJECTS];
static int object_count;
static struct event events[MAX_EVENTS];
static int event_total;
static int64_t revision = 100;

static struct object *
find (const char *kind, const char *name)
{
  for (int i = 0; i < object_count; i++)
    if (strcmp (objects[i].kind, kind) == 0
        && strcmp (objects[i].name, name) == 0)
      return &objects[i];
  return NULL;
}

static void
add_event (const char *kind, json_t *value, bool is_deleted)
{
  struct event *e;

  if (event_total == MAX_EVENTS)
    finish (2);
  e = &events[event_total++];
  snprintf (e->kind, NAME, "%s", kind);
  e->revision = revision;
  e->value = json_incref (value);
  e->is_deleted = is_deleted;
  pthread_cond_broadcast (&changed);
}

/* With the lock held; takes over spec.  */
static struct object *
put (const char *kind, const char *name, json_t *spec)
{
  struct object *o = find (kind, name);

  if (o == NULL)
    {
      if (object_count == MAX_OBJECTS)
        finish (2);
      o = &objects[object_count++];
      memset (o, 0, sizeof *o);
      snprintf (o->kind, NAME, "%s", kind);
      snprintf (o->name, NAME, "%s", name);
    }
  else if (json_equal (json_object_get (o->value, "Spec"), spec))
    {
      json_decref (spec);
      return o;
    }
  revision++;
  json_decref (o->value);
  o->value = json_pack ("{s:{s:s,s:I,s:i,s:[],s:b},s:o,s:n}", "Metadata",
                        "Name", name, "Revision", (json_int_t)revision,
                        "Created", 1, "Finalizers", "DeletionPending", 0,
                        "Spec", spec, "Status");
  add_event (kind, o->value, false);
  return o;
}

void
store_put (const char *kind, const char *name, json_t *spec)
{
  pthread_mutex_lock (&lock);
  put (kind, name, spec);
  pthread_mutex_unlock (&lock);
}

void
store_delete (const char *kind, const char *name)
{
  struct object *o;

  pthread_mutex_lock (&lock);
  o = find (kind, name);
  if (o != NULL)
    {
      revision++;
      add_event (kind, o->value, true);
      json_decref (o->value);
      *o = objects[--object_count];
    }
  pthread_mutex_unlock (&lock);
}

int64_t
operator_publish (json_t *value)
{
  int64_t version
      = json_integer_value (json_object_get (value, "Version"));
  int64_t at_ms;

  store_put ("config", "main", value);
  at_ms = now_ms ();
  note ("operator: configuration %lld is acknowledged", (long long)version);
  return at_ms;
}

static int64_t
number_in (const char *query, const char *name, int64_t otherwise)
{
  const char *found = strstr (query, name);

  return found != NULL ? strtoll (found + strlen (name), NULL, 10)
                       : otherwise;
}

static void
answer (int fd, int status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  respond (fd, status, "Content-Type: application/json\r\n", text,
           strlen (text));
  free (text);
  json_decref (value);
}

static json_t *
list (const char *kind)
{
  json_t *items = json_array ();

  for (int i = 0; i < object_count; i++)
    if (strcmp (objects[i].kind, kind) == 0)
      json_array_append (items, objects[i].value);
  return json_pack ("{s:o,s:b,s:I}", "Items", items, "HasMore", 0, "At",
                    (json_int_t)revision);
}

static json_t *
events_after (const char *kind, int64_t since)
{
  json_t *found = json_array ();

  for (int i = event_total; i-- > 0 && events[i].revision > since;)
    if (strcmp (events[i].kind, kind) == 0)
      json_array_insert_new (found, 0,
                             json_pack ("{s:O,s:b}", "Object",
                                        events[i].value, "Deleted",
                                        (int)events[i].is_deleted));
  return found;
}

static json_t *
watch (const char *kind, int64_t since, int64_t wait_ms)
{
  int64_t end_ms = now_ms () + wait_ms;
  json_t *found;

  while (json_array_size (found = events_after (kind, since)) == 0
         && now_ms () < end_ms)
    {
      struct timespec until;
      int64_t left_ms = end_ms - now_ms ();

      json_decref (found);
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_nsec += (left_ms % 1000) * 1000000;
      until.tv_sec += left_ms / 1000 + until.tv_nsec / 1000000000;
      until.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&changed, &lock, &until);
    }
  return json_pack ("{s:o,s:I}", "events", found, "At",
                    (json_int_t)revision);
}

static void
write_object (int fd, const char *kind, const char *name, json_t *body)
{
  json_t *metadata = json_object_get (body, "Metadata");
  json_t *expected = json_object_get (metadata, "Revision");
  const char *new_name
      = json_string_value (json_object_get (metadata, "Name"));
  json_t *spec = json_incref (json_object_get (body, "Spec"));
  struct object *o;
  json_t *reply;
  int status = 200;

  pthread_mutex_lock (&lock);
  o = find (kind, name[0] != '\0' ? name : new_name);
  if (name[0] == '\0')
    status = o != NULL ? 409 : 201;
  else if (o == NULL)
    status = 404;
  else if (expected != NULL
           && json_integer_value (expected)
                  != json_integer_value (json_object_get (
                      json_object_get (o->value, "Metadata"), "Revision")))
    status = 409;
  if (status == 200 || status == 201)
    o = put (kind, new_name, spec);
  else
    json_decref (spec);
  reply = o != NULL ? json_incref (o->value) : json_object ();
  pthread_mutex_unlock (&lock);
  answer (fd, status, reply);
}

static void
handle_call (int fd, const struct message *m)
{
  char method[16] = "";
  char target[1024] = "";
  char kind[NAME] = "";
  char name[NAME] = "";
  char *query;
  struct object *o;
  json_t *reply;

  sscanf (m->first, "%15s %1023s", method, target);
  query = strchr (target, '?');
  if (query != NULL)
    *query++ = '\0';
  else
    query = target + strlen (target);
  sscanf (target, "/objects/%95[^/]/%95s", kind, name);
  if (strcmp (method, "GET") != 0)
    {
      json_t *body = json_loads (m->body, 0, NULL);

      write_object (fd, kind, name, body);
      json_decref (body);
      return;
    }
  pthread_mutex_lock (&lock);
  if (name[0] != '\0')
    {
      o = find (kind, name);
      reply = o != NULL ? json_incref (o->value) : NULL;
    }
  else if (strstr (query, "Watch=") != NULL)
    reply = watch (kind, number_in (query, "Watch=", 0),
                   number_in (query, "WaitMs=", 1000));
  else
    reply = list (kind);
  pthread_mutex_unlock (&lock);
  answer (fd, reply != NULL ? 200 : 404,
          reply != NULL ? reply : json_object ());
}

static void
handle (void *ctx, int fd)
{
  struct connection c = { .fd = fd };
  struct message m;

  (void)ctx;
  while (read_head (&c, &m))
    {
      if (!read_body (&c, &m))
        {
          free_message (&m);
          break;
        }
      handle_call (fd, &m);
      free_message (&m);
    }
  close_connection (&c);
}

uint32_t
store_start (void)
{
  uint32_t port = 0;
  int fd = listen_on (&port);

  if (fd < 0)
    finish (2);
  serve (fd, handle, NULL);
  return port;
}
