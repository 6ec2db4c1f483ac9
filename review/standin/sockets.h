// Plain TCP sockets on loopback addresses.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_SOCKETS_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_SOCKETS_H_

#include <cstdint>
#include <string>

namespace review {

// A listening socket; port 0: any free port. Throws std::runtime_error if it cannot listen.
int Listen(const std::string& ip, uint16_t port);
uint16_t PortOf(int socket);
// Connects to "ip:port"; -1 if that fails. A timeout of 0 waits without limit for each send and receive.
int Connect(const std::string& address, int timeout_ms = 0);
bool SendAll(int socket, const std::string& bytes);

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_SOCKETS_H_
