// Stand-in of the platform's metadata store: lists, watches, writes, and the
// expiry of silent backends.
//
//   store --listen IP:PORT --config FILE --heartbeat-ms N
#include "lab.hpp"

namespace {

struct Object
{
  std::string mSpec;
  std::uint64_t mRevision = 0;
  std::int64_t mWrittenAt = 0;
};

struct Event
{
  std::uint64_t mRevision;
  std::string mKind;
  std::string mText;
};

std::mutex gMutex;
std::condition_variable gChanged;
std::uint64_t gRevision = 100;
std::map<std::string, std::map<std::string, Object>> gObjects;
std::vector<Event> gEvents;

std::string ToText(const std::string& aName, const Object& aObject)
{
  return R"({"metadata":{"name":")" + aName + R"(","revision":)" +
         std::to_string(aObject.mRevision) +
         R"(,"created_rev":1,"finalizers":[],"deleting":false},"spec":)" +
         aObject.mSpec + R"(,"status":null})";
}

void AddEvent(const std::string& aKind, const std::string& aName,
              const Object& aObject, bool aIsDeleted)
{
  gEvents.push_back({ gRevision, aKind,
                      std::string(R"({"deleted":)") +
                        (aIsDeleted ? "true" : "false") + R"(,"object":)" +
                        ToText(aName, aObject) + '}' });
  gChanged.notify_all();
}

/** \returns the spec without the value of its field `sequence`. */
std::string WithoutSequence(const std::string& aSpec)
{
  const std::size_t start = aSpec.find("\"sequence\":");
  if (start == std::string::npos) {
    return aSpec;
  }
  const std::size_t end = aSpec.find_first_of(",}", start);
  return aSpec.substr(0, start) + aSpec.substr(end);
}

void Put(const std::string& aKind, const std::string& aName,
         const std::string& aSpec)
{
  const std::lock_guard<std::mutex> lock(gMutex);
  Object& object = gObjects[aKind][aName];
  const bool isChanged =
    object.mRevision == 0 ||
    WithoutSequence(object.mSpec) != WithoutSequence(aSpec);
  object.mSpec = aSpec;
  object.mWrittenAt = lab::MonotonicMs();
  if (isChanged) {
    object.mRevision = ++gRevision;
    AddEvent(aKind, aName, object, false);
  }
}

void Delete(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard<std::mutex> lock(gMutex);
  const auto it = gObjects[aKind].find(aName);
  if (it != gObjects[aKind].end()) {
    Object object = it->second;
    gObjects[aKind].erase(it);
    object.mRevision = ++gRevision;
    AddEvent(aKind, aName, object, true);
  }
}

std::string QueryValue(const std::string& aTarget, const std::string& aKey)
{
  for (const char* before : { "?", "&" }) {
    const std::size_t n = aTarget.find(before + aKey + '=');
    if (n != std::string::npos) {
      const std::size_t start = n + aKey.size() + 2;
      return aTarget.substr(start, aTarget.find('&', start) - start);
    }
  }
  return "";
}

std::string List(const std::string& aKind, const std::string& aAfter)
{
  const std::lock_guard<std::mutex> lock(gMutex);
  std::string items;
  for (const auto& [name, object] : gObjects[aKind]) {
    if (name > aAfter) {
      items += (items.empty() ? "" : ",") + ToText(name, object);
    }
  }
  return "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":" +
         std::to_string(gRevision) + '}';
}

std::string Watch(const std::string& aKind, std::uint64_t aSince,
                  std::int64_t aWaitMs)
{
  std::unique_lock<std::mutex> lock(gMutex);
  const auto until = lab::Clock::now() + std::chrono::milliseconds(aWaitMs);
  std::string events;
  const auto collect = [&] {
    for (const Event& it : gEvents) {
      if (it.mKind == aKind && it.mRevision > aSince) {
        events += (events.empty() ? "" : ",") + it.mText;
      }
    }
    return !events.empty();
  };
  gChanged.wait_until(lock, until, collect);
  return "{\"events\":[" + events +
         "],\"as_of\":" + std::to_string(gRevision) + '}';
}

void Handle(lab::Connection& aConnection)
{
  lab::Message request;
  while (aConnection.ReadHead(request) == lab::ReadEnd::Complete &&
         aConnection.ReadBody(request, false) == lab::ReadEnd::Complete) {
    const std::string target = request.Target();
    const std::string prefix = "/v1/objects/";
    const std::string path =
      target.substr(0, target.find('?')).substr(prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
    std::string body = "{}";
    if (request.Method() == "PUT") {
      Put(kind, name, request.mBody);
    } else if (request.Method() == "DELETE") {
      Delete(kind, name);
    } else if (const std::string since = QueryValue(target, "watch");
               !since.empty()) {
      body = Watch(kind, std::strtoull(since.c_str(), nullptr, 10),
                   std::atoll(QueryValue(target, "wait_ms").c_str()));
    } else {
      body = List(kind, QueryValue(target, "after"));
    }
    if (!aConnection.Write("HTTP/1.1 200 OK\r\nContent-Type: application/json"
                           "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

void ExpireSilent(std::int64_t aHeartbeatMs)
{
  for (;;) {
    lab::SleepMs(100);
    std::vector<std::string> silent;
    {
      const std::lock_guard<std::mutex> lock(gMutex);
      for (const auto& [name, object] : gObjects["servers"]) {
        if (lab::MonotonicMs() - object.mWrittenAt > 3 * aHeartbeatMs) {
          silent.push_back(name);
        }
      }
    }
    for (const std::string& it : silent) {
      Delete("servers", it);
    }
  }
}

} // namespace

int main(int aCount, char** aWords)
{
  std::signal(SIGPIPE, SIG_IGN);
  const lab::Options options(aCount, aWords, 1);
  std::string config;
  if (FILE* file = std::fopen(options.Text("config").c_str(), "r")) {
    char buf[4096];
    for (std::size_t n = 0; (n = std::fread(buf, 1, sizeof buf, file)) > 0;) {
      config.append(buf, n);
    }
    std::fclose(file);
  }
  Put("config", "main", config);
  std::thread(ExpireSilent, static_cast<std::int64_t>(
                              options.Number("heartbeat-ms", 1500)))
    .detach();
  lab::Serve(options.Text("listen"), Handle);
}
