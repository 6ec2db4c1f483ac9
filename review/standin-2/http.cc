#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

constexpr size_t kChunk = 65536;
constexpr int kBacklog = 512;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error(ip + " is no address");
  }
  return address;
}

int PortOf(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int HexOf(char c) {
  return std::isdigit(static_cast<unsigned char>(c)) != 0 ? c - '0' : (std::tolower(c) - 'a' + 10);
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(static_cast<char>(HexOf(text[i + 1]) * 16 + HexOf(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

void ReadQuery(const std::string& text, std::map<std::string, std::string>& query) {
  for (size_t at = 0; at < text.size();) {
    const size_t end = std::min(text.find('&', at), text.size());
    const std::string pair = text.substr(at, end - at);
    const size_t equals = std::min(pair.find('='), pair.size());
    query[Decode(pair.substr(0, equals))] = equals < pair.size() ? Decode(pair.substr(equals + 1)) : "";
    at = end + 1;
  }
}

// The head of a message: its first line and its fields. Empty if it is not complete yet.
bool ReadHead(const std::string& text,
              size_t& body_at,
              std::string& first,
              std::map<std::string, std::string>& fields) {
  const size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  body_at = end + 4;
  size_t at = text.find("\r\n");
  first = text.substr(0, at);
  while (at < end) {
    const size_t begin = at + 2;
    at = text.find("\r\n", begin);
    const std::string line = text.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      fields[Lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
  }
  return true;
}

bool WriteAll(int socket, const std::string& bytes) {
  for (size_t at = 0; at < bytes.size();) {
    const ssize_t sent = send(socket, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    at += static_cast<size_t>(sent);
  }
  return true;
}

// Reads more into `buffer`. False at the end of the connection or at `until`.
bool ReadMore(int socket, std::string& buffer, Clock::time_point until) {
  pollfd ready{socket, POLLIN, 0};
  const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
  if (left <= 0 || poll(&ready, 1, static_cast<int>(std::min<long long>(left + 1, 3'600'000))) <= 0) {
    return false;
  }
  char chunk[kChunk];
  const ssize_t size = recv(socket, chunk, sizeof(chunk), 0);
  if (size <= 0) {
    return false;
  }
  buffer.append(chunk, static_cast<size_t>(size));
  return true;
}

// Reads one message from the start of `buffer`, and leaves what follows it there.
bool ReadMessage(int socket,
                 std::string& buffer,
                 Clock::time_point until,
                 std::string& first,
                 std::map<std::string, std::string>& fields,
                 std::string& body) {
  size_t body_at = 0;
  while (!ReadHead(buffer, body_at, first, fields)) {
    if (!ReadMore(socket, buffer, until)) {
      return false;
    }
  }
  const auto length = fields.find("content-length");
  const size_t size = length == fields.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, 10);
  if (const auto expect = fields.find("expect"); expect != fields.end()) {
    WriteAll(socket, "HTTP/1.1 100 Continue\r\n\r\n");
  }
  while (buffer.size() < body_at + size) {
    if (!ReadMore(socket, buffer, until)) {
      return false;
    }
  }
  body = buffer.substr(body_at, size);
  buffer.erase(0, body_at + size);
  return true;
}

HttpRequest ToRequest(const std::string& first, std::map<std::string, std::string> fields, std::string body) {
  HttpRequest request;
  const size_t path_at = std::min(first.find(' '), first.size() - 1) + 1;
  const size_t path_end = std::min(first.find(' ', path_at), first.size());
  const std::string target = first.substr(path_at, path_end - path_at);
  const size_t query_at = std::min(target.find('?'), target.size());
  request.method = first.substr(0, path_at - 1);
  request.path = Decode(target.substr(0, query_at));
  if (query_at < target.size()) {
    ReadQuery(target.substr(query_at + 1), request.query);
  }
  request.headers = std::move(fields);
  request.body = std::move(body);
  return request;
}

void ResetOnClose(int socket) {
  const linger reset{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void SendAtOnce(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

int HttpListener::Start(const std::string& ip, int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
  }
  const std::lock_guard lock(mutex_);
  stopping_ = false;
  listener_ = listener;
  ++threads_;
  std::thread([this, listener] { Accept(listener); }).detach();
  return PortOf(listener);
}

void HttpListener::Stop() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  if (listener_ >= 0) {
    shutdown(listener_, SHUT_RDWR);
    listener_ = -1;
  }
  for (const int each : sockets_) {
    ResetOnClose(each);
    shutdown(each, SHUT_RDWR);
  }
  idle_.wait(lock, [this] { return threads_ == 0; });
}

void HttpListener::ResetConnections() {
  const std::lock_guard lock(mutex_);
  for (const int each : sockets_) {
    ResetOnClose(each);
    shutdown(each, SHUT_RDWR);
  }
}

void HttpListener::Accept(int listener) {
  while (true) {
    const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard lock(mutex_);
    if (accepted < 0 || stopping_) {
      if (accepted >= 0) {
        close(accepted);
      }
      if (stopping_) {
        break;
      }
      continue;
    }
    SendAtOnce(accepted);
    sockets_.insert(accepted);
    ++threads_;
    std::thread([this, accepted] { Serve(accepted); }).detach();
  }
  close(listener);
  const std::lock_guard lock(mutex_);
  --threads_;
  idle_.notify_all();
}

void HttpListener::Serve(int socket) {
  std::string buffer;
  while (true) {
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;
    if (!ReadMessage(socket, buffer, Clock::now() + std::chrono::hours(1), first, fields, body)) {
      break;
    }
    const HttpResponse response = handler_(ToRequest(first, std::move(fields), std::move(body)));
    const std::string head =
        "HTTP/1.1 " + std::to_string(response.status) +
        " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) +
        "\r\n\r\n";
    if (response.status == 0 || !WriteAll(socket, head + response.body)) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  sockets_.erase(socket);
  close(socket);
  --threads_;
  idle_.notify_all();
}

ClientConnection::ClientConnection(const std::string& address) {
  const size_t colon = address.rfind(':');
  const sockaddr_in target = AddressOf(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  open_ = connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0;
  SendAtOnce(socket_);
}

ClientConnection::~ClientConnection() {
  close(socket_);
}

HttpResponse ClientConnection::Send(const std::string& method,
                                    const std::string& path,
                                    const std::map<std::string, std::string>& headers,
                                    const std::string& body,
                                    Millis timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  HttpResponse response;
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string first;
  std::map<std::string, std::string> fields;
  if (open_ && WriteAll(socket_, text) && ReadMessage(socket_, buffer_, until, first, fields, response.body)) {
    const size_t space = first.find(' ');
    response.status = space == std::string::npos ? 0 : std::atoi(first.c_str() + space + 1);
  }
  return response;
}

HttpResponse Send(const std::string& address,
                  const std::string& method,
                  const std::string& path,
                  const std::map<std::string, std::string>& headers,
                  const std::string& body,
                  Millis timeout) {
  return ClientConnection(address).Send(method, path, headers, body, timeout);
}

int FreePort(const std::string& ip) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, 0);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(socket);
    throw std::runtime_error("no free port on " + ip);
  }
  const int port = PortOf(socket);
  close(socket);
  return port;
}

}  // namespace review
