target_link_libraries(ctl-tests PRIVATE ftb_app_ctl)
