/// @file http_client.cc The only user of libcurl.

#include "net/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <unordered_map>
#include <utility>

#include "net/http_head_check.h"

namespace sorrelplank {

namespace {

/// All fields of a response, and those that follow its body. Heads of the store
/// and of other VMs have some hundred bytes.
constexpr size_t kMaxHeadBytes = size_t{32} * 1024;

/// Global initialisation of libcurl, done once per process.
struct CurlGlobal {
  CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
  ~CurlGlobal() { curl_global_cleanup(); }
};

std::string Trim(const std::string& text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(asio::io_context& io) : m_io(io), m_timer(io) {
    static CurlGlobal global;
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 512L);
  }

  ~Impl() {
    *m_alive = false;
    for (auto& [id, fetch] : m_fetches) {
      Dispose(*fetch);
    }
    curl_multi_cleanup(m_multi);
    for (auto& [socket, watch] : m_watches) {
      watch->m_descriptor.release();
    }
  }

  uint64_t Start(HttpFetch request, Callback callback) {
    auto fetch = std::make_unique<Fetch>();
    fetch->m_id = m_next_id++;
    fetch->m_request = std::move(request);
    fetch->m_callback = std::move(callback);
    Prepare(*fetch);
    const uint64_t id = fetch->m_id;
    CURL* easy = fetch->m_easy;
    m_fetches.emplace(id, std::move(fetch));
    curl_multi_add_handle(m_multi, easy);
    if (m_fetches.at(id)->m_request.m_max_pause) {
      WatchProgress(id);
    }
    return id;
  }

  void Cancel(uint64_t id) {
    const auto it = m_fetches.find(id);
    if (it == m_fetches.end()) {
      return;
    }
    const std::unique_ptr<Fetch> fetch = std::move(it->second);
    m_fetches.erase(it);
    Dispose(*fetch);
  }

 private:
  /// A fetch in progress.
  struct Fetch {
    uint64_t m_id = 0;
    HttpFetch m_request;
    Callback m_callback;
    CURL* m_easy = nullptr;
    curl_slist* m_header_list = nullptr;
    HttpResponse m_response;
    size_t m_head_bytes = 0;
    bool m_too_large = false;
    bool m_is_head_invalid = false;
    bool m_is_head_complete = false;
    /// Latest time of the next byte, with m_max_pause.
    std::chrono::steady_clock::time_point m_next_byte_by{};
    std::unique_ptr<asio::steady_timer> m_pause_timer;
  };

  /// A socket of libcurl that asio watches.
  struct Watch {
    Watch(asio::io_context& io, curl_socket_t socket)
        : m_descriptor(io, socket) {}
    asio::posix::stream_descriptor m_descriptor;
    int m_poll_flags = 0;
    bool m_reading = false;
    bool m_writing = false;
  };

  void Prepare(Fetch& fetch) {
    if (m_idle_handles.empty()) {
      fetch.m_easy = curl_easy_init();
    } else {
      fetch.m_easy = m_idle_handles.back();
      m_idle_handles.pop_back();
    }
    CURL* easy = fetch.m_easy;
    const HttpFetch& request = fetch.m_request;
    for (const auto& [name, value] : request.m_headers) {
      fetch.m_header_list =
          curl_slist_append(fetch.m_header_list, (name + ": " + value).c_str());
    }
    // Otherwise libcurl would wait one second for "100 Continue" before it
    // sends larger bodies.
    fetch.m_header_list = curl_slist_append(fetch.m_header_list, "Expect:");
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &fetch);
    curl_easy_setopt(easy, CURLOPT_URL, request.m_url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, fetch.m_header_list);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(
        easy, CURLOPT_TIMEOUT_MS,
        ToMilliseconds(request.m_timeout + (request.m_max_pause
                                                ? HttpFetch::kMaxArrivalTime
                                                : Duration::zero())));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     ToMilliseconds(request.m_connect_timeout));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     request.m_fresh_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
                     request.m_close_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &fetch);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &fetch);
    SetMethod(easy, request);
  }

  static void SetMethod(CURL* easy, const HttpFetch& request) {
    if (request.m_method == "GET" && request.m_body.empty()) {
      curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
      return;
    }
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.m_body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.m_body.data());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.m_method.c_str());
  }

  static long ToMilliseconds(Duration duration) {  // NOLINT(google-runtime-int)
    const auto ms = std::chrono::duration_cast<milliseconds>(duration).count();
    return std::max<long>(1, ms);  // NOLINT(google-runtime-int)
  }

  /// Ends the fetch if its response does not begin or go on in time.
  void WatchProgress(uint64_t id) {
    Fetch& fetch = *m_fetches.at(id);
    if (!fetch.m_pause_timer) {
      fetch.m_pause_timer = std::make_unique<asio::steady_timer>(m_io);
      fetch.m_next_byte_by =
          std::chrono::steady_clock::now() + fetch.m_request.m_timeout;
    }
    fetch.m_pause_timer->expires_at(fetch.m_next_byte_by);
    fetch.m_pause_timer->async_wait(
        [this, id, alive = m_alive](std::error_code error) {
          if (error || !*alive) {
            return;
          }
          const auto it = m_fetches.find(id);
          if (it == m_fetches.end()) {
            return;
          }
          if (it->second->m_next_byte_by > std::chrono::steady_clock::now()) {
            WatchProgress(id);
            return;
          }
          Finish(id, CURLE_OPERATION_TIMEDOUT);
        });
  }

  static void NoteProgress(Fetch& fetch) {
    if (fetch.m_request.m_max_pause) {
      fetch.m_next_byte_by =
          std::max(fetch.m_next_byte_by, std::chrono::steady_clock::now() +
                                             *fetch.m_request.m_max_pause);
    }
  }

  static size_t OnBody(char* data, size_t size, size_t count, void* user) {
    auto* fetch = static_cast<Fetch*>(user);
    NoteProgress(*fetch);
    const size_t bytes = size * count;
    if (fetch->m_response.m_body.size() + bytes >
        fetch->m_request.m_max_response_bytes) {
      fetch->m_too_large = true;
      return 0;
    }
    fetch->m_response.m_body.append(data, bytes);
    return bytes;
  }

  static size_t OnHeader(char* data, size_t size, size_t count, void* user) {
    auto* fetch = static_cast<Fetch*>(user);
    NoteProgress(*fetch);
    fetch->m_head_bytes += size * count;
    if (fetch->m_head_bytes > kMaxHeadBytes) {
      fetch->m_too_large = true;
      return 0;
    }
    const std::string line(data, size * count);
    const bool is_status_line = IsStatusLine(line);
    const bool is_head_end = line == "\r\n" || line == "\n";
    if (!is_status_line && !is_head_end && !IsFieldLine(line)) {
      fetch->m_is_head_invalid = true;
      return 0;
    }
    // libcurl drops a line that begins with a zero byte, and what follows it,
    // without an error.
    fetch->m_is_head_complete =
        !is_status_line && (is_head_end || fetch->m_is_head_complete);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = ToLower(Trim(line.substr(0, colon)));
      std::string value = Trim(line.substr(colon + 1));
      if (name == "content-type") {
        fetch->m_response.m_content_type = value;
      }
      fetch->m_response.m_headers.emplace_back(std::move(name),
                                               std::move(value));
    }
    return size * count;
  }

  static int OnSocket(CURL*,
                      curl_socket_t socket,
                      int what,
                      void* user,
                      void*) {
    static_cast<Impl*>(user)->WatchSocket(socket, what);
    return 0;
  }

  static int OnTimer(CURLM*,
                     long timeout_ms,  // NOLINT(google-runtime-int)
                     void* user) {
    auto* self = static_cast<Impl*>(user);
    if (timeout_ms < 0) {
      self->m_timer.cancel();
      return 0;
    }
    self->m_timer.expires_after(milliseconds(timeout_ms));
    self->m_timer.async_wait(
        [self, alive = self->m_alive](std::error_code error) {
          if (!error && *alive) {
            self->HandleSocketAction(CURL_SOCKET_TIMEOUT, 0);
          }
        });
    return 0;
  }

  void WatchSocket(curl_socket_t socket, int what) {
    const auto it = m_watches.find(socket);
    if (what == CURL_POLL_REMOVE) {
      if (it != m_watches.end()) {
        it->second->m_poll_flags = 0;
        it->second->m_descriptor.release();
        m_watches.erase(it);
      }
      return;
    }
    auto watch = it != m_watches.end() ? it->second
                                       : std::make_shared<Watch>(m_io, socket);
    m_watches[socket] = watch;
    watch->m_poll_flags = what;
    StartWaiting(socket, watch);
  }

  void StartWaiting(curl_socket_t socket, const std::shared_ptr<Watch>& watch) {
    if ((watch->m_poll_flags & CURL_POLL_IN) != 0 && !watch->m_reading) {
      watch->m_reading = true;
      watch->m_descriptor.async_wait(
          asio::posix::stream_descriptor::wait_read,
          [this, socket, watch, alive = m_alive](std::error_code error) {
            watch->m_reading = false;
            OnReady(socket, watch, alive, error, CURL_CSELECT_IN);
          });
    }
    if ((watch->m_poll_flags & CURL_POLL_OUT) != 0 && !watch->m_writing) {
      watch->m_writing = true;
      watch->m_descriptor.async_wait(
          asio::posix::stream_descriptor::wait_write,
          [this, socket, watch, alive = m_alive](std::error_code error) {
            watch->m_writing = false;
            OnReady(socket, watch, alive, error, CURL_CSELECT_OUT);
          });
    }
  }

  void OnReady(curl_socket_t socket,
               const std::shared_ptr<Watch>& watch,
               const std::shared_ptr<bool>& alive,
               std::error_code error,
               int what) {
    if (error || !*alive || (watch->m_poll_flags & ToPollFlag(what)) == 0) {
      return;
    }
    HandleSocketAction(socket, what);
    const auto it = m_watches.find(socket);
    if (it != m_watches.end() && it->second == watch) {
      StartWaiting(socket, watch);
    }
  }

  static int ToPollFlag(int what) {
    return what == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
  }

  void HandleSocketAction(curl_socket_t socket, int what) {
    int running = 0;
    curl_multi_socket_action(m_multi, socket, what, &running);
    FinishCompletedTransfers();
  }

  void FinishCompletedTransfers() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      char* user = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
      Finish(reinterpret_cast<Fetch*>(user)->m_id, code);
    }
  }

  void Finish(uint64_t id, CURLcode code) {
    const auto it = m_fetches.find(id);
    const std::unique_ptr<Fetch> fetch = std::move(it->second);
    m_fetches.erase(it);
    HttpResult result;
    result.m_end = Classify(*fetch, code);
    result.m_error = curl_easy_strerror(code);
    long status = 0;  // NOLINT(google-runtime-int)
    curl_easy_getinfo(fetch->m_easy, CURLINFO_RESPONSE_CODE, &status);
    fetch->m_response.m_status = static_cast<int>(status);
    result.m_response = std::move(fetch->m_response);
    Dispose(*fetch);
    fetch->m_callback(std::move(result));
  }

  /// Says what is certain about the bytes that were sent. If in doubt, they
  /// count as sent.
  static FetchOutcome Classify(const Fetch& fetch, CURLcode code) {
    if (code == CURLE_OK) {
      return fetch.m_is_head_complete ? FetchOutcome::kAnswered
                                      : FetchOutcome::kMalformed;
    }
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
        code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) {
      return FetchOutcome::kConnectFailed;
    }
    if (fetch.m_too_large) {
      return FetchOutcome::kTooLarge;
    }
    if (fetch.m_is_head_invalid) {
      return FetchOutcome::kMalformed;
    }
    long sent = 0;  // NOLINT(google-runtime-int)
    curl_easy_getinfo(fetch.m_easy, CURLINFO_REQUEST_SIZE, &sent);
    double connect_seconds = 0;
    curl_easy_getinfo(fetch.m_easy, CURLINFO_CONNECT_TIME, &connect_seconds);
    if (sent == 0) {
      return connect_seconds > 0 ? FetchOutcome::kNothingSent
                                 : FetchOutcome::kConnectFailed;
    }
    switch (code) {
      case CURLE_OPERATION_TIMEDOUT:
        return FetchOutcome::kTimedOut;
      case CURLE_SEND_ERROR:
      case CURLE_SEND_FAIL_REWIND:
        return FetchOutcome::kSentPartly;
      case CURLE_GOT_NOTHING:
        return FetchOutcome::kNoAnswer;
      case CURLE_WEIRD_SERVER_REPLY:
      case CURLE_UNSUPPORTED_PROTOCOL:
      case CURLE_WRITE_ERROR:
        return FetchOutcome::kMalformed;
      default:
        return fetch.m_response.m_headers.empty() ? FetchOutcome::kNoAnswer
                                                  : FetchOutcome::kTruncated;
    }
  }

  void Dispose(Fetch& fetch) {
    curl_multi_remove_handle(m_multi, fetch.m_easy);
    curl_slist_free_all(fetch.m_header_list);
    curl_easy_reset(fetch.m_easy);
    m_idle_handles.push_back(fetch.m_easy);
    if (m_idle_handles.size() > kMaxIdleHandles) {
      curl_easy_cleanup(m_idle_handles.back());
      m_idle_handles.pop_back();
    }
  }

  static constexpr size_t kMaxIdleHandles = 64;

  asio::io_context& m_io;
  asio::steady_timer m_timer;
  CURLM* m_multi = nullptr;
  uint64_t m_next_id = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Fetch>> m_fetches;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> m_watches;
  std::vector<CURL*> m_idle_handles;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

HttpClient::HttpClient(asio::io_context& io)
    : m_impl(std::make_unique<Impl>(io)) {}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::Start(HttpFetch fetch, Callback callback) {
  return m_impl->Start(std::move(fetch), std::move(callback));
}

void HttpClient::Cancel(uint64_t fetch) {
  m_impl->Cancel(fetch);
}

}  // namespace sorrelplank
