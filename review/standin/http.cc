#include "http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <utility>

#include "sockets.h"

namespace review {

namespace {

// Reads more bytes; false at the end of the connection.
bool ReadMore(int socket, std::string& buffer) {
  std::array<char, 16384> chunk{};
  const ssize_t count = recv(socket, chunk.data(), chunk.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer.append(chunk.data(), static_cast<size_t>(count));
  return true;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

void ParseTarget(const std::string& target, HttpRequest& request) {
  const size_t mark = target.find('?');
  request.path = Unescape(target.substr(0, mark));
  std::istringstream query(mark == std::string::npos ? "" : target.substr(mark + 1));
  std::string pair;
  while (std::getline(query, pair, '&')) {
    const size_t equals = pair.find('=');
    request.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : Unescape(pair.substr(equals + 1));
  }
}

std::map<std::string, std::string> ParseHeaders(std::istringstream& lines) {
  std::map<std::string, std::string> headers;
  std::string line;
  while (std::getline(lines, line) && line != "\r" && !line.empty()) {
    const size_t colon = line.find(':');
    const size_t value = line.find_first_not_of(' ', colon + 1);
    if (colon != std::string::npos && value != std::string::npos) {
      headers[Lower(line.substr(0, colon))] = line.substr(value, line.find('\r') - value);
    }
  }
  return headers;
}

// Reads one message; the first line goes to `first_line`. Empty at the end of the connection.
std::optional<HttpRequest> ReadMessage(int socket, std::string& buffer, std::string& first_line) {
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(socket, buffer)) {
      return std::nullopt;
    }
  }
  std::istringstream lines(buffer.substr(0, end + 2));
  buffer.erase(0, end + 4);
  std::getline(lines, first_line);
  HttpRequest message;
  message.headers = ParseHeaders(lines);
  const auto length = message.headers.find("content-length");
  const size_t size = length == message.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    if (!ReadMore(socket, buffer)) {
      return std::nullopt;
    }
  }
  message.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return message;
}

}  // namespace

HttpServer::HttpServer(const std::string& ip, uint16_t port, Handler handler)
    : ip_(ip), handler_(std::move(handler)), listener_(Listen(ip, port)) {
  port_ = PortOf(listener_);
  acceptor_ = std::thread([this] { AcceptLoop(); });
}

HttpServer::~HttpServer() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  CloseAll();
  while (serving_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

void HttpServer::SetDown(bool down) {
  down_ = down;
  if (down) {
    CloseAll();
  }
}

void HttpServer::CloseAll() {
  const std::lock_guard lock(mutex_);
  for (const int socket : sockets_) {
    shutdown(socket, SHUT_RDWR);
  }
}

void HttpServer::AcceptLoop() {
  while (!stopping_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    if (down_ || stopping_) {
      close(socket);
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++serving_;
    {
      const std::lock_guard lock(mutex_);
      sockets_.insert(socket);
    }
    std::thread([this, socket] {
      Serve(socket);
      {
        const std::lock_guard lock(mutex_);
        sockets_.erase(socket);
      }
      close(socket);
      --serving_;
    }).detach();
  }
}

void HttpServer::Serve(int socket) {
  std::string buffer;
  std::string first_line;
  while (!stopping_ && !down_) {
    auto request = ReadMessage(socket, buffer, first_line);
    if (!request) {
      return;
    }
    std::istringstream words(first_line);
    std::string target;
    words >> request->method >> target;
    ParseTarget(target, *request);
    const HttpResponse response = handler_(*request);
    if (response.silent) {
      while (ReadMore(socket, buffer)) {
        buffer.clear();
      }
      return;
    }
    const std::string head =
        "HTTP/1.1 " + std::to_string(response.status) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    if (down_ || !SendAll(socket, head + response.body)) {
      return;
    }
  }
}

HttpResult HttpCall(const std::string& address,
                    const std::string& method,
                    const std::string& path,
                    const std::map<std::string, std::string>& headers,
                    const std::string& body,
                    int timeout_ms) {
  HttpResult result;
  const int socket = Connect(address, timeout_ms);
  if (socket < 0) {
    return result;
  }
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  std::string first_line;
  if (SendAll(socket, text)) {
    if (const auto answer = ReadMessage(socket, buffer, first_line)) {
      std::istringstream words(first_line);
      std::string version;
      words >> version >> result.status;
      result.body = answer->body;
    }
  }
  close(socket);
  return result;
}

std::vector<uint16_t> FreePorts(const std::string& ip, size_t count) {
  std::vector<int> probes;
  std::vector<uint16_t> ports;
  while (probes.size() < count) {
    probes.push_back(Listen(ip, 0));
    ports.push_back(PortOf(probes.back()));
  }
  for (const int probe : probes) {
    close(probe);
  }
  return ports;
}

}  // namespace review
