// Idle clients fill the descriptors: Gearman clients that have each had a look-up answered, and rest. Then an ordinary
// client comes over HTTP, on new connections.
#include <sys/resource.h>

#include "rig.h"

using namespace rig;

int main(int argc, char** argv) {
  Begin(argc, argv);
  static Folder folder;
  static Runs runs;
  const int listen = FreePort(), admin = FreePort(), gearman = FreePort();
  static std::vector<std::unique_ptr<HttpWorker>> workers;
  std::vector<std::string> known;
  for (int i = 0; i < 4; ++i) {
    const int port = FreePort();
    const std::string name = "s-" + std::to_string(i);
    workers.push_back(std::make_unique<HttpWorker>(name, port, 0.05, &runs));
    if (!workers.back()->listening()) End(kCannotRun, folder);
    known.push_back(Entry(name, port, i / 2));
  }
  const Settings settings;
  const std::string file = folder.Write(
      "config.json", "{\"name\":\"n1\",\"listen\":\"" + Address(listen) + "\",\"admin\":\"" + Address(admin) +
                         "\",\"log_level\":\"info\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256}," +
                         "\"gearman\":" + settings.GearmanJson(gearman) + ",\"known\":" + List(known) +
                         ",\"settings\":" + settings.Json() + "}");
  Process node("n1", file, folder.path(), folder.path() + "/n1.log");
  if (!Until(10, [&] { return Call(admin, "GET", "/healthcheck") == 200; })) End(kCannotRun, folder);

  // The ordinary client sends a look-up on a new connection. Returns how it ended.
  const auto ask = [&](const std::string& job) -> std::string {
    const double timeout_s = 4;
    const auto stream = Stream::To(listen, 1);
    if (stream == nullptr) return "refused-connection";
    stream->Write("POST /api HTTP/1.1\r\nHost: n\r\nRequest-Id: r-" + job +
                  "\r\nRequest-Class: consulta-plan\r\nTenant: grano-sur\r\nRequest-Timeout-Ms: 4000\r\n"
                  "Content-Length: " + std::to_string(job.size()) + "\r\n\r\n" + job);
    const auto answer = ReadHttp(stream.get(), Now() + timeout_s + 0.6);
    if (answer) return answer->start_line;
    return stream->ended() ? "closed" : "NO ANSWER in 4.6 s, and the connection is open";
  };
  const std::string before = ask("before");
  RECORD("before: %s", before.c_str());
  if (before.find("200") == std::string::npos) End(kCannotRun, folder);

  static std::vector<std::unique_ptr<Gearman>> resting;
  int served = 0;
  const int clients = Trouble() ? 130 : 20;
  for (int i = 0; i < clients; ++i) {
    resting.push_back(std::make_unique<Gearman>(gearman, 0.3));
    resting.back()->Send(kSubmitJob, {"consulta-plan.grano-sur", "", "look-up-" + std::to_string(i)});
    while (const auto packet = resting.back()->Read(0.6)) {
      if (packet->type == kJobCreated) continue;
      served += packet->type == kWorkComplete;
      break;
    }
    if (served <= i) break;  // no more are let in
  }
  RECORD("clients that had their look-up answered and rest: %d", served);
  int unanswered = 0;
  for (int i = 0; i < 6; ++i) {
    const std::string result = ask("later-" + std::to_string(i));
    RECORD("later-%d: %s", i, result.c_str());
    unanswered += result.starts_with("NO ANSWER");
  }
  RECORD("unanswered=%d", unanswered);
  End(unanswered > 0 ? kBroken : kHeld, folder);
}
