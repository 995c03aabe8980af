// A node is told to end while it still has work. Background jobs come on a connection that it leaves open: each is
// either refused with an error or done.
#include "rig.h"

using namespace rig;

int main(int argc, char** argv) {
  Begin(argc, argv);
  static Folder folder;
  static Runs runs;
  const int listen = FreePort(), admin = FreePort(), gearman = FreePort();
  const Settings settings;
  const std::string file = folder.Write(
      "config.json", "{\"name\":\"n1\",\"listen\":\"" + Address(listen) + "\",\"admin\":\"" + Address(admin) +
                         "\",\"log_level\":\"info\",\"gearman\":" + settings.GearmanJson(gearman) +
                         ",\"known\":" + List({}) + ",\"settings\":" + settings.Json() + "}");
  const auto start = [&](const std::string& name) {
    return std::make_unique<Process>(name, file, folder.path(), folder.path() + "/" + name + ".log");
  };
  std::unique_ptr<Process> node = start("n1");
  const auto ready = [&] { return Call(admin, "GET", "/healthcheck") == 200; };
  if (!Until(10, ready)) End(kCannotRun, folder);
  const std::string charge = "cobro-envio.grano-sur", look_up = "consulta-plan.grano-sur";
  static std::vector<std::unique_ptr<GearmanWorker>> workers;
  for (int i = 1; i <= 3; ++i) {
    workers.push_back(std::make_unique<GearmanWorker>("w" + std::to_string(i), gearman,
                                                      std::vector<std::string>{charge}, 3.7, &runs));
    workers.push_back(std::make_unique<GearmanWorker>("v" + std::to_string(i), gearman,
                                                      std::vector<std::string>{look_up}, 0.4, &runs));
  }
  Sleep(1);

  // A charge runs, so the node has something to finish.
  Gearman waiting(gearman), client(gearman);
  waiting.Send(kSubmitJob, {charge, "u-running", "running"});
  const auto created = waiting.Read(3);
  if (!created || created->type != kJobCreated || !Until(3, [&] { return !runs.Of("running").empty(); }))
    End(kCannotRun, folder);

  std::vector<std::string> promised;
  const auto submit = [&](const std::string& job) {
    RECORD("submit background job=%s", job.c_str());
    if (!client.Send(kSubmitJobBg, {look_up, "", job})) return RECORD("connection ended job=%s", job.c_str());
    const auto packet = client.Read(2);
    if (!packet) return RECORD("no answer job=%s", job.c_str());
    RECORD("answer job=%s packet=%u %s", job.c_str(), packet->type, packet->arguments.back().c_str());
    if (packet->type == kJobCreated) promised.push_back(job);
  };
  submit("before");
  if (promised.empty()) End(kCannotRun, folder);
  if (Trouble()) node->Signal(SIGTERM);
  Sleep(1);
  for (int i = 1; i <= 5; ++i) {
    submit("later-" + std::to_string(i));
    Sleep(0.2);
  }
  const auto result = waiting.Read(30);
  RECORD("the running charge: packet=%u", result ? result->type : 0);
  // It ends by itself; the platform would kill it 25.7 s after SIGTERM. Then it is started again.
  if (Trouble()) {
    if (!node->Wait(28)) node->Signal(SIGKILL);
    node->Wait(3);
    node = start("n1-again");
    if (!Until(10, ready)) End(kCannotRun, folder);
  }
  Sleep(12);
  int lost = 0;
  for (const std::string& job : promised) {
    if (!runs.Of(job).empty()) continue;
    lost += 1;
    RECORD("LOST job=%s: answered with JOB_CREATED, never given to a worker, no error", job.c_str());
  }
  RECORD("promised=%zu lost=%d", promised.size(), lost);
  End(lost > 0 ? kBroken : kHeld, folder);
}
