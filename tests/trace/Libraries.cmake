target_link_libraries(trace-tests PRIVATE ftb_app_replay)
