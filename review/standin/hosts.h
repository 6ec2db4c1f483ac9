// The processes of the system: started with the command and the settings template of the deploy file.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_HOSTS_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_HOSTS_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>

namespace review {

struct HostSettings {
  std::string name;
  std::string zone;
  std::string ip;  // Loopback address.
  std::string store;
  std::string advice;
  std::string directory;                      // For its settings file and its log.
  std::map<std::string, std::string> fields;  // Further fields of the platform's settings file, such as Bounds.
};

class HostProcess {
 public:
  explicit HostProcess(const HostSettings& settings);
  ~HostProcess();  // Kills the process.
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  void Start();
  void Kill();       // SIGKILL, and waits for its end.
  void Terminate();  // SIGTERM; does not wait.
  bool WaitForEnd(int timeout_ms);
  bool running();

  const std::string& name() const { return settings_.name; }
  std::string front() const { return Address(front_port_); }
  std::string ready() const { return Address(ready_port_); }
  std::string peer() const { return Address(peer_port_); }

 private:
  std::string Address(uint16_t port) const { return settings_.ip + ":" + std::to_string(port); }
  std::string FillTemplate() const;

  const HostSettings settings_;
  uint16_t front_port_ = 0;
  uint16_t ready_port_ = 0;
  uint16_t peer_port_ = 0;
  uint16_t metrics_port_ = 0;
  pid_t pid_ = -1;
};

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_HOSTS_H_
